import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment: the programs of deploy/system.toml as processes, each machine with a loopback address of its own,
 * and the stand-in of the platform's store.
 */
final class Fleet implements AutoCloseable {
    static final int CALLERS = 8368;
    static final int READY = 8369;
    static final int DIRECTORY = 8360;
    static final int PEERS = 7780;
    static final int METRICS = 9464;

    /** A machine with the process of its role. */
    final class Machine {
        final String name;
        final String role;
        final String zone;
        final String ip;
        final Path data;
        Process process;
        boolean isFirstStart = true;
        private int starts;

        Machine(String name, String role, String zone, int number) throws IOException {
            this.name = name;
            this.role = role;
            this.zone = zone;
            this.ip = subnet + number;
            this.data = folder.resolve("data-" + name);
            Files.createDirectories(data);
        }

        String callers() {
            return ip + ":" + CALLERS;
        }

        void start() throws IOException {
            Path settings = folder.resolve(name + ".json");
            Files.writeString(settings, Json.write(settings(this)));
            List<String> command = new ArrayList<>(Arrays.asList(runLine(role).split(" ")));
            ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile()).redirectErrorStream(true)
                .redirectOutput(log().toFile());
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("JASMINEFORD_SETTINGS", settings.toString());
            starts++;
            process = builder.start();
            started.add(process);
            Record.line("%s: process %d started%s", name, starts, isFirstStart ? " (Bootstrap)" : "");
            isFirstStart = false;
        }

        Path log() {
            return folder.resolve(name + "-" + starts + ".log");
        }

        /** Ends the process at once, as a kill or a loss of power does. */
        void kill() throws InterruptedException {
            process.destroyForcibly();
            process.waitFor(5, TimeUnit.SECONDS);
            Record.line("%s: killed", name);
        }

        /** Empties the disk; the process must have ended. */
        void wipe() throws IOException {
            deleteAll(data);
            Files.createDirectories(data);
            Record.line("%s: its disk is lost", name);
        }

        /** Sends a signal by its name, such as STOP or CONT. */
        void signal(String signal) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
            Record.line("%s: SIG%s", name, signal);
        }

        boolean isReady() {
            if (!process.isAlive()) return false;
            Client.Result result = Client.call(ip + ":" + READY, Client.newId(), "GET", "/api/readyz", new byte[0], 500);
            return result.status == 200;
        }
    }

    final Store store;
    final Path folder;
    final Map<String, Machine> machines = new LinkedHashMap<>();
    private final Path root;
    private final String subnet;
    private final List<Process> started = new ArrayList<>();
    private final Map<String, String> runLines = new LinkedHashMap<>();

    Fleet(Path root) throws IOException {
        this.root = root;
        if (!Files.exists(root.resolve("target/jasmineford-node.jar"))) throw new IOException("the project isn't built");
        folder = Files.createTempDirectory("review");
        subnet = freeSubnet();
        readRunLines();
        store = new Store(subnet + "1");
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** A /24 of loopback on which the fixed ports are free. */
    private static String freeSubnet() {
        while (true) {
            ThreadLocalRandom random = ThreadLocalRandom.current();
            String candidate = "127." + random.nextInt(10, 250) + "." + random.nextInt(1, 250) + ".";
            boolean isFree = true;
            for (int port : new int[] {CALLERS, READY, DIRECTORY, PEERS, METRICS}) {
                for (int host = 2; host < 30 && isFree; host++) isFree = canBind(candidate + host, port);
            }
            if (isFree) return candidate;
        }
    }

    private static boolean canBind(String ip, int port) {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(InetAddress.getByName(ip), port));
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private void readRunLines() throws IOException {
        String role = null;
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            Matcher section = Pattern.compile("\\[roles\\.(.+)]").matcher(line.trim());
            Matcher run = Pattern.compile("run = \"(.*)\"").matcher(line.trim());
            if (section.matches()) role = section.group(1);
            if (run.matches() && role != null) runLines.put(role, run.group(1));
        }
    }

    private String runLine(String role) {
        return runLines.get(role);
    }

    /** Address of the stand-in with [number] on this deployment's loopback network. */
    String ip(int number) {
        return subnet + number;
    }

    Machine add(String name, String role, String zone) throws IOException {
        Machine machine = new Machine(name, role, zone, machines.size() + 2);
        machines.put(name, machine);
        return machine;
    }

    /** Adds [entries] edge and [histories] storage machines, spread over the zones a, b and c. */
    void addMachines(int entries, int histories) throws IOException {
        for (int i = 0; i < entries; i++) add("edge-" + (char) ('a' + i % 3) + (i / 3 + 1), "entry", "" + (char) ('a' + i % 3));
        for (int i = 0; i < histories; i++) add("storage-" + (char) ('a' + i % 3) + (i / 3 + 1), "history", "" + (char) ('a' + i % 3));
    }

    Machine get(String name) {
        return machines.get(name);
    }

    /** Starts all machines and waits until the edge machines are ready. */
    void start(long waitMs) throws Exception {
        for (Machine machine : machines.values()) machine.start();
        awaitReady(waitMs);
    }

    void awaitReady(long waitMs) throws Exception {
        long end = System.nanoTime() + waitMs * 1_000_000;
        for (Machine machine : machines.values()) {
            while (machine.role.equals("entry") && !machine.isReady()) {
                if (System.nanoTime() > end) throw new IOException(machine.name + " doesn't become ready");
                Thread.sleep(100);
            }
        }
        while (store.get("jasmineford-members", "history-group") == null) {
            if (System.nanoTime() > end) throw new IOException("no group of history daemons is formed");
            Thread.sleep(100);
        }
        Thread.sleep(1000);
        Record.line("the edge machines are ready");
    }

    private Map<String, Object> settings(Machine machine) {
        boolean isEntry = machine.role.equals("entry");
        Map<String, Object> listen = isEntry
            ? Json.of("Frontend", machine.ip + ":" + CALLERS, "Ready", machine.ip + ":" + READY,
                "Registry", machine.ip + ":" + DIRECTORY)
            : Json.of();
        return Json.of(
            "NodeName", machine.name, "Role", machine.role, "MachineClass", isEntry ? "edge" : "storage",
            "Serves", isEntry ? List.of("edge", "registry") : List.of("storage"),
            "Ip", machine.ip, "Zone", machine.zone, "Region", "r",
            "Zones", Json.of("a", "r", "b", "r", "c", "r"), "Listen", listen,
            "InternalPorts", List.of(PEERS, PEERS + 15), "Seeds", List.of(),
            "Bootstrap", machine.isFirstStart, "FaultCounted", !isEntry,
            "Limits", Json.of("CpuQuota", 0.75, "Cores", isEntry ? 1 : 2, "MemoryMb", isEntry ? 280 : 300,
                "MaxFds", isEntry ? 4100 : 8200, "LinkMbps", isEntry ? 1000.0 : 600.0, "DiskMb", isEntry ? 0 : 390),
            "DataDir", isEntry ? null : machine.data.toString(),
            "Discovery", "platform", "Entry", "registry", "HeartbeatMs", 1200,
            "Contracts", List.of("base", "drain", "config", "cost", "recover", "agent", "stream", "engine", "tenants",
                "quota", "places", "platform"),
            "FaultTolerance", Json.of("Machines", 1, "Zones", 1, "Regions", 0),
            "Bounds", Json.of("SeedLagS", 3, "ReuseAfterS", 2, "ContactMs", 3000, "AckTimeoutMs", 4000,
                "CatchUpS", 4.5, "DrainMs", 2000, "GraceS", 8, "LossSlackMs", 200, "ConfigApplyMs", 2000,
                "RollbackSlackMs", 250, "StretchMaxMs", 5000, "RevokeStrict", true, "RevokeMs", 5000,
                "QuotaWindowS", 5, "QuotaExcess", 0.1, "QuotaSlack", 20, "ColdExcess", 1.5, "ColdSlack", 5,
                "EvacuateMs", 5000, "RecoveryS", 12, "PassMs", 120, "RetryAfterS", 0, "DeadlineS", 10,
                "SettleMs", 1000, "ttl_max_s", 5),
            "Platform", Json.of("Address", subnet + "1:" + store.port(), "form", "objects", "WritesPerS", 400,
                "ReadsPerS", 2000, "HistoryS", 20, "ValueBytes", 1048576, "TtlMinMs", 1000));
    }

    /** Writes the config: routes and services as given, and two tenants with the keys `key-1` and `key-2`. */
    void configure(long version, List<Object> routes, List<Object> services) {
        store.put("config", "main", Json.of(
            "Version", version, "Routes", routes, "Services", services,
            "Limits", Json.of("MaxHeaderBytes", 16384, "MaxBodyBytes", 4194304, "HeaderTimeoutMs", 3000,
                "IdleTimeoutMs", 15000),
            "Tenants", List.of(tenant("club", "key-1"), tenant("league", "key-2"))));
        Record.line("config version %d is acknowledged", version);
    }

    private static Map<String, Object> tenant(String name, String key) {
        return Json.of("Name", name, "ApiKeys", List.of(key), "Priority", 1, "RatePerS", 0, "Burst", 0);
    }

    static Map<String, Object> route(String name, String kind, String service, int timeoutMs, int targetMs,
        int attempts, boolean isStateful, double retentionS, boolean isResumable) {
        return Json.of("Name", name, "Host", "agents.example", "PathPrefix", "/" + name + "/", "RouteKind", kind,
            "TimeoutMs", timeoutMs, "TargetLatencyMs", targetMs, "Priority", 1, "Service", service,
            "MaxAttempts", attempts, "Stateful", isStateful, "RetentionS", retentionS, "Public", false,
            "Sticky", kind.equals("stream"), "Resumable", isResumable, "GapTargetMs", 150);
    }

    static Map<String, Object> service(String name, int tokensPerEvent) {
        Map<String, Object> service = Json.of("Name", name, "HealthPath", "/healthz", "MaxConns", 160,
            "Protocol", "h1", "Tls", false, "ColdStartS", 0.0, "ColdPerS", 0.0);
        if (tokensPerEvent > 0) service.put("Engine", Json.of("Slots", 16, "ChunkTokens", tokensPerEvent));
        return service;
    }

    /** Registers a worker in the store. */
    void register(String id, String service, String address, String zone, int slots, String state) {
        register(id, service, address, zone, slots, state, "v1");
    }

    void register(String id, String service, String address, String zone, int slots, String state, String version) {
        store.put("servers", id, Json.of("Service", service, "Address", address, "Zone", zone, "Version", version,
            "Slots", slots, "State", state, "ColdLeftMs", 0, "SeqNo", 1, "born", 1700000000000L));
        Record.line("worker %s of version %s registers as %s", id, version, state);
    }

    private static void deleteAll(Path folder) throws IOException {
        if (!Files.exists(folder)) return;
        try (Stream<Path> paths = Files.walk(folder)) {
            paths.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        }
    }

    @Override
    public synchronized void close() {
        for (Process process : started) process.destroyForcibly();
        try {
            store.close();
            if (System.getenv("KEEP_LOGS") == null) deleteAll(folder);
        } catch (IOException e) {
            System.err.println("can't clean up: " + e.getMessage());
        }
    }
}
