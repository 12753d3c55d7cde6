package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a case: lines with the time since its start. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long startedAt = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void add(String format, Object... values) {
        long millis = (System.nanoTime() - startedAt) / 1_000_000;
        String line = String.format("%7d ms  ", millis) + String.format(format, values);
        out.println(line);
        out.flush();
        System.out.println(line);
    }

    /** Writes a line to the file only. */
    synchronized void detail(String format, Object... values) {
        long millis = (System.nanoTime() - startedAt) / 1_000_000;
        out.println(String.format("%7d ms  ", millis) + String.format(format, values));
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
