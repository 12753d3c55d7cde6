package review2;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** The programs of deploy/system.toml as processes with loopback addresses of their own, and the platform's store. */
final class Fleet implements AutoCloseable {
    static final String HOST = "agents.example";
    static final String KEY = "key-1";
    private static final int CALLERS = 8368;
    private static final int READY = 8369;
    private static final int REGISTRY = 8360;
    private static final int PEERS = 7780;
    private static final int STORE = 7000;
    private static final List<String> ZONES = List.of("a", "b", "c");

    /** A machine with the process of its role. */
    static final class Machine {
        final String name;
        final boolean isEntry;
        final String zone;
        final String ip;
        volatile Process process;
        volatile boolean isStopped;
        int starts;
        int ends;

        Machine(String name, boolean isEntry, String zone, String ip) {
            this.name = name;
            this.isEntry = isEntry;
            this.zone = zone;
            this.ip = ip;
        }

        InetSocketAddress callers() throws IOException {
            return Http.address(ip, CALLERS);
        }
    }

    final Path folder;
    final Store store;
    final List<Machine> entries = new ArrayList<>();
    final List<Machine> histories = new ArrayList<>();
    private final String subnet;
    private final Map<String, List<String>> commands = new LinkedHashMap<>();
    private final List<Process> processes = new ArrayList<>();

    Fleet(int entryCount) throws IOException {
        folder = Files.createTempDirectory("review-2-");
        subnet = freeSubnet();
        String role = "";
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            String text = line.trim();
            if (text.startsWith("[roles.")) role = text.substring(7, text.length() - 1);
            if (text.startsWith("run = ")) commands.put(role, List.of(text.substring(7, text.length() - 1).split(" ")));
        }
        store = new Store(Http.address(ip(1), STORE));
        for (int i = 0; i < entryCount; i++) {
            String zone = ZONES.get(i % 3);
            entries.add(new Machine("edge-" + zone + "-" + (i / 3 + 1), true, zone, ip(10 + i)));
        }
        for (int i = 0; i < 3; i++) {
            histories.add(new Machine("storage-" + ZONES.get(i) + "-1", false, ZONES.get(i), ip(30 + i)));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> processes.forEach(Process::destroyForcibly)));
    }

    String ip(int host) {
        return subnet + "." + host;
    }

    private static String freeSubnet() throws IOException {
        Random random = new Random();
        while (true) {
            String subnet = "127." + (20 + random.nextInt(200)) + "." + (1 + random.nextInt(250));
            try (ServerSocket probe = new ServerSocket()) {
                probe.bind(new InetSocketAddress(InetAddress.getByName(subnet + ".1"), STORE));
                return subnet;
            } catch (IOException e) {
                // Another run uses it.
            }
        }
    }

    /** Starts all machines and waits until the entry daemons are ready and the history daemons have a group. */
    void start() throws Exception {
        for (Machine machine : histories) start(machine);
        for (Machine machine : entries) start(machine);
        long until = System.nanoTime() + 40_000_000_000L;
        while (!isReady()) {
            if (System.nanoTime() > until) throw new IOException("the fleet isn't ready");
            Thread.sleep(100);
        }
        Thread.sleep(3000);
    }

    private boolean isReady() {
        for (Machine machine : entries) if (!isReady(machine)) return false;
        return store.get("jasmineford-members", "history-group") != null;
    }

    boolean isReady(Machine machine) {
        try (Http.Connection connection = new Http.Connection(Http.address(machine.ip, READY))) {
            connection.send("GET /api/readyz HTTP/1.1", Http.map("Host", machine.ip), new byte[0]);
            return connection.receive(1000).status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    synchronized void start(Machine machine) throws IOException {
        machine.starts++;
        Path data = Files.createDirectories(folder.resolve("data-" + machine.name));
        Path settings = folder.resolve(machine.name + ".json");
        Files.writeString(settings, settings(machine, data));
        ProcessBuilder builder = new ProcessBuilder(commands.get(machine.isEntry ? "entry" : "history"))
            .redirectErrorStream(true)
            .redirectOutput(folder.resolve(machine.name + "-" + machine.starts + ".log").toFile());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("JASMINEFORD_SETTINGS", settings.toString());
        machine.process = builder.start();
        processes.add(machine.process);
        machine.isStopped = false;
    }

    /** Sends a signal, such as KILL, TERM, STOP or CONT, to the machine's process. */
    void signal(Machine machine, String name) throws Exception {
        if (name.equals("KILL") || name.equals("TERM")) machine.isStopped = true;
        new ProcessBuilder("kill", "-" + name, "" + machine.process.pid()).inheritIO().start().waitFor();
    }

    /** Registers a worker, which listens at the address of the host number. */
    InetSocketAddress register(String id, String service, int host, String more) throws IOException {
        String address = ip(host) + ":8080";
        store.put("servers", id, Json.parse(
            "{\"Service\":\"" + service + "\",\"Address\":\"" + address + "\",\"Zone\":\"" + ZONES.get(host % 3)
                + "\",\"Version\":\"v1\",\"Slots\":16,\"State\":\"ready\",\"ColdLeftMs\":0,\"SeqNo\":1"
                + ",\"born\":1700000000000" + more + "}"));
        return Http.address(ip(host), 8080);
    }

    static String route(String name, String kind, String service, int attempts, String more) {
        return "{\"Name\":\"" + name + "\",\"Host\":\"" + HOST + "\",\"PathPrefix\":\"/" + name + "/\",\"RouteKind\":\""
            + kind + "\",\"TimeoutMs\":3000,\"TargetLatencyMs\":200,\"Priority\":1,\"Service\":\"" + service
            + "\",\"MaxAttempts\":" + attempts + ",\"Public\":false,\"RetentionS\":60,\"GapTargetMs\":150" + more + "}";
    }

    /** Routes talk (stateful turns), draft (resumable), look (safe) and post (unsafe); further routes may be given. */
    void config(int version, String... more) {
        List<String> routes = new ArrayList<>(List.of(
            route("talk", "stream", "llm", 2, ",\"Stateful\":true,\"Sticky\":true,\"Resumable\":false"),
            route("draft", "stream", "llm", 2, ",\"Stateful\":false,\"Sticky\":true,\"Resumable\":true"),
            route("look", "safe", "app", 2, ""),
            route("post", "unsafe", "app", 1, "")));
        routes.addAll(List.of(more));
        String engine = ",\"Engine\":{\"Slots\":16,\"KvCapacity\":134601,\"ChunkTokens\":12}";
        String service = "\"HealthPath\":\"/healthz\",\"MaxConns\":160,\"Protocol\":\"h1\",\"Tls\":false,"
            + "\"ColdStartS\":0.0,\"ColdPerS\":0.0";
        store.put("config", "main", Json.parse("{\"Version\":" + version + ",\"Routes\":[" + String.join(",", routes)
            + "],\"Services\":[{\"Name\":\"llm\"," + service + engine + "},{\"Name\":\"app\"," + service + "}],"
            + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
            + "\"IdleTimeoutMs\":15000},\"Tenants\":[{\"Name\":\"club\",\"ApiKeys\":[\"" + KEY
            + "\"],\"Priority\":1,\"RatePerS\":0,\"Burst\":0}]}"));
    }

    private String settings(Machine machine, Path data) {
        String listen = machine.isEntry
            ? "\"Frontend\":\"" + machine.ip + ":" + CALLERS + "\",\"Ready\":\"" + machine.ip + ":" + READY
                + "\",\"Registry\":\"" + machine.ip + ":" + REGISTRY + "\"" : "";
        String limits = machine.isEntry
            ? "\"CpuQuota\":0.75,\"Cores\":1,\"MemoryMb\":280,\"MaxFds\":4100,\"LinkMbps\":1000.0,\"DiskMb\":0"
            : "\"CpuQuota\":0.75,\"Cores\":2,\"MemoryMb\":300,\"MaxFds\":8200,\"LinkMbps\":600.0,\"DiskMb\":390";
        return "{\"NodeName\":\"" + machine.name + "\",\"Role\":\"" + (machine.isEntry ? "entry" : "history")
            + "\",\"MachineClass\":\"" + (machine.isEntry ? "edge" : "storage") + "\",\"Serves\":"
            + (machine.isEntry ? "[\"edge\",\"registry\"]" : "[\"storage\"]") + ",\"Ip\":\"" + machine.ip
            + "\",\"Zone\":\"" + machine.zone + "\",\"Region\":\"r\",\"Zones\":{\"a\":\"r\",\"b\":\"r\",\"c\":\"r\"},"
            + "\"Listen\":{" + listen + "},\"InternalPorts\":[" + PEERS + "," + (PEERS + 15) + "],\"Seeds\":[],"
            + "\"Bootstrap\":" + (machine.starts == 1) + ",\"FaultCounted\":" + !machine.isEntry + ",\"Limits\":{"
            + limits + "},\"DataDir\":" + (machine.isEntry ? "null" : "\"" + data + "\"")
            + ",\"Discovery\":\"platform\",\"Entry\":\"registry\",\"HeartbeatMs\":1200,\"Contracts\":[\"base\",\"drain\","
            + "\"config\",\"cost\",\"recover\",\"agent\",\"stream\",\"engine\",\"tenants\",\"quota\",\"places\","
            + "\"platform\"],\"FaultTolerance\":{\"Machines\":1,\"Zones\":1,\"Regions\":0},\"Bounds\":{\"SeedLagS\":3,"
            + "\"ReuseAfterS\":2,\"ContactMs\":3000,\"AckTimeoutMs\":4000,\"CatchUpS\":4.5,\"DrainMs\":2000,"
            + "\"GraceS\":8,\"LossSlackMs\":200,\"ConfigApplyMs\":2000,\"RollbackSlackMs\":250,\"StretchMaxMs\":5000,"
            + "\"RevokeStrict\":true,\"RevokeMs\":5000,\"QuotaWindowS\":5,\"QuotaExcess\":0.1,\"QuotaSlack\":20,"
            + "\"ColdExcess\":1.5,\"ColdSlack\":5,\"EvacuateMs\":5000,\"RecoveryS\":12,\"PassMs\":120,"
            + "\"RetryAfterS\":0,\"DeadlineS\":10,\"SettleMs\":1000,\"ttl_max_s\":5},\"Platform\":{\"Address\":\""
            + ip(1) + ":" + STORE + "\",\"form\":\"objects\",\"WritesPerS\":400,\"ReadsPerS\":2000,\"HistoryS\":20,"
            + "\"ValueBytes\":1048576,\"TtlMinMs\":1000}}";
    }

    /** Machines whose process has ended by itself since the last call; they are started again if [isRestarting]. */
    List<Machine> ownEnds(boolean isRestarting) throws IOException {
        List<Machine> ended = new ArrayList<>();
        List<Machine> all = new ArrayList<>(entries);
        all.addAll(histories);
        for (Machine machine : all) {
            if (machine.isStopped || machine.process == null || machine.process.isAlive()) continue;
            machine.ends++;
            ended.add(machine);
            if (isRestarting) start(machine);
            else machine.isStopped = true;
        }
        return ended;
    }

    @Override
    public void close() throws Exception {
        processes.forEach(Process::destroyForcibly);
        for (Process process : processes) process.waitFor(5, TimeUnit.SECONDS);
        store.close();
        if (System.getenv("KEEP") != null) {
            System.err.println("logs: " + folder);
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        }
    }
}
