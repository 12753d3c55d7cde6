import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** The file `record.txt` of a case: what was sent, answered and run, with the time since the start in seconds. */
final class Record {
    private static final long START = System.nanoTime();
    private static PrintWriter out;

    private Record() {
    }

    static void open(Path folder) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt"), StandardCharsets.UTF_8));
    }

    static double now() {
        return (System.nanoTime() - START) / 1e9;
    }

    static synchronized void line(String format, Object... values) {
        out.printf("%8.3f  %s%n", now(), String.format(format, values));
        out.flush();
    }
}
