import java.nio.file.Path;

/** Runs one case and ends with its exit code: 0 the rule held, 1 it was broken, 2 the case couldn't run. */
final class Case {
    /** The body of a case; returns whether the rule held. */
    interface Body {
        boolean run(Fleet fleet, boolean hasTrouble) throws Exception;
    }

    private Case() {
    }

    /** [args] are the repository's root and the folder of the case. */
    static void run(String[] args, Body body) {
        int code = 2;
        try {
            Record.open(Path.of(args[1]));
            boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
            Record.line("TROUBLE=%d", hasTrouble ? 1 : 0);
            try (Fleet fleet = new Fleet(Path.of(args[0]))) {
                if (System.getenv("KEEP_LOGS") != null) System.err.println("logs: " + fleet.folder);
                code = body.run(fleet, hasTrouble) ? 0 : 1;
            }
            Record.line(code == 0 ? "the rule held" : "the rule was broken");
        } catch (Exception e) {
            System.err.println("the case couldn't run: " + e);
            code = 2;
        }
        System.exit(code);
    }
}
