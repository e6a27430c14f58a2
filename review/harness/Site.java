import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A small site on loopback: the project's control processes and entries, started with the commands and templates of the deploy
 * file, and stand-in minions, clients and operators. Records what was sent, answered and run.
 */
final class Site implements AutoCloseable {
    static final String HOST = "jobs.example";

    private static final int SECONDS_TO_START = 40;

    private final Path repository;
    private final Path folder;
    private final PrintWriter record;
    private final long zeroNanos = System.nanoTime();
    private final Map<String, Daemon> daemons = new LinkedHashMap<>();
    private final List<String> controlAddresses = new ArrayList<>();
    private final int controlPort;
    private final int frontPort;
    private final int readyPort;
    private final int firstPort;
    private final int secondPort;
    private final List<Event> events = new ArrayList<>();
    private volatile String leader = "";
    /** The processes that ended by themselves, once for each time; the platform starts them again. */
    private final List<String> ownEnds = new ArrayList<>();
    private volatile boolean closing;

    /** What a minion has seen of a run; a minion that lists an end until it is seen. */
    record Event(long millis, String kind, String minion, String task, long run, String detail) {}

    /** One process of the project. */
    private static final class Daemon {
        final String name;
        final List<String> command;
        Process process;
        /** Whether the platform ended the process. */
        volatile boolean killed;

        Daemon(String name, List<String> command) {
            this.name = name;
            this.command = command;
        }
    }

    Site(Path repository, Path folder, Path recordFile, int controls, int entries) throws IOException {
        this.repository = repository;
        this.folder = folder;
        record = new PrintWriter(Files.newBufferedWriter(recordFile), false);
        controlPort = freePort();
        frontPort = freePort();
        readyPort = freePort();
        firstPort = freePort();
        secondPort = freePort();
        List<String> seeds = new ArrayList<>();
        for (int number = 1; number <= controls; number++) {
            seeds.add("127.0.1." + number + ":" + controlPort);
        }
        controlAddresses.addAll(seeds);
        for (int number = 1; number <= controls; number++) {
            prepare("control", "control-" + number, "127.0.1." + number, seeds);
        }
        for (int number = 1; number <= entries; number++) {
            prepare("entry", "entry-" + number, "127.0.2." + number, seeds);
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }

    List<String> controlAddresses() {
        return controlAddresses;
    }

    String front(int entry) {
        return "127.0.2." + entry + ":" + frontPort;
    }

    long millis() {
        return (System.nanoTime() - zeroNanos) / 1_000_000;
    }

    synchronized void record(String text) {
        record.printf("%8.3f %s%n", millis() / 1_000.0, text);
    }

    private synchronized void add(String kind, Minion minion, String task, long run, String detail) {
        events.add(new Event(millis(), kind, minion.id, task, run, detail));
        record("minion " + minion.id + " " + kind + " " + task + " run " + run + (detail.isEmpty() ? "" : " " + detail));
    }

    synchronized List<Event> events() {
        return List.copyOf(events);
    }

    void started(Minion minion, String task, long run, String spec) {
        add("start", minion, task, run, spec);
    }

    void ended(Minion minion, String task, long run, String how) {
        add("end", minion, task, run, how);
    }

    /** A run ends with its minion. */
    void gone(Minion minion, String task, long run) {
        add("gone", minion, task, run, "");
    }

    void seen(Minion minion, String task, long run, String how) {
        add("seen", minion, task, run, how);
    }

    void held(Minion minion, long token, int running, int listed, int unseen) {
        record("minion " + minion.id + " answers hold of holder " + token + ": running " + running + ", ends listed "
                + listed + " of " + unseen);
    }

    private void prepare(String role, String name, String ip, List<String> seeds) throws IOException {
        Path settings = folder.resolve(name + ".ini");
        Path data = Files.createDirectories(folder.resolve(name + "-data"));
        writeSettings(role, ip, seeds, settings, data, true);
        String run = "";
        String section = "";
        for (String line : Files.readAllLines(repository.resolve("deploy/system.toml"))) {
            if (line.startsWith("[")) {
                section = line.trim();
            } else if (section.equals("[roles." + role + "]") && line.startsWith("run = \"")) {
                run = line.substring(7, line.lastIndexOf('"'));
            }
        }
        List<String> command = new ArrayList<>(Arrays.asList(run.split(" ")));
        command.replaceAll(word -> word.equals("/etc/nettlering/node.json") ? settings.toString() : word);
        daemons.put(name, new Daemon(name, command));
    }

    private void writeSettings(String role, String ip, List<String> seeds, Path settings, Path data, boolean first)
            throws IOException {
        String text = Files.readString(repository.resolve("deploy/templates/" + role + ".ini"));
        Map<String, String> values = new LinkedHashMap<>();
        values.put("ip", ip);
        values.put("zone", "zone-a");
        values.put("port_range.0", String.valueOf(firstPort));
        values.put("port_range.1", String.valueOf(secondPort));
        values.put("data_dir", data.toString());
        values.put("seed_nodes", String.join(",", seeds));
        values.put("bootstrap", String.valueOf(first));
        values.put("fault_tolerance.machines", "1");
        values.put("bounds.hold_max_ms", "6000");
        values.put("bounds.stop_grace_ms", "200");
        values.put("listen_addrs.control", ip + ":" + controlPort);
        values.put("listen_addrs.front", ip + ":" + frontPort);
        values.put("listen_addrs.ready", ip + ":" + readyPort);
        for (Map.Entry<String, String> value : values.entrySet()) {
            text = text.replace("{{" + value.getKey() + "}}", value.getValue());
        }
        if (text.contains("{{")) {
            throw new IOException("a field of the template of " + role + " is not known: " + text);
        }
        Files.writeString(settings, text);
    }

    /** After the first start the platform renders the settings with bootstrap false. */
    private void forgetBootstrap() throws IOException {
        for (Daemon daemon : daemons.values()) {
            Path settings = folder.resolve(daemon.name + ".ini");
            Files.writeString(
                    settings, Files.readString(settings).replace("found = true", "found = false"));
        }
    }

    void start(String name) throws IOException {
        Daemon daemon = daemons.get(name);
        ProcessBuilder builder = new ProcessBuilder(daemon.command).directory(repository.toFile());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.redirectErrorStream(true);
        daemon.killed = false;
        daemon.process = builder.start();
        record("platform starts " + name);
        Process process = daemon.process;
        Thread.ofVirtual().start(() -> follow(name, process));
    }

    /** Writes the log of a process to a file, and remembers who leads. */
    private void follow(String name, Process process) {
        try (BufferedReader in =
                        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
                PrintWriter out = new PrintWriter(Files.newBufferedWriter(
                        folder.resolve(name + "-" + process.pid() + ".log")))) {
            String line = in.readLine();
            while (line != null) {
                out.println(line);
                if (line.contains("this member leads term")) {
                    leader = name;
                    record(name + " leads");
                }
                line = in.readLine();
            }
        } catch (IOException ended) {
            record("the log of " + name + " ended: " + ended.getMessage());
        }
        startAgain(name, process);
    }

    /** A process that exits by itself is started again after a short delay. */
    private void startAgain(String name, Process process) {
        try {
            int code = process.waitFor();
            if (closing || daemons.get(name).killed) {
                return;
            }
            synchronized (this) {
                ownEnds.add(name);
            }
            record(name + " ended by itself with exit code " + code);
            sleep(500);
            if (!closing) {
                start(name);
            }
        } catch (IOException | InterruptedException failure) {
            record(name + " could not be started again: " + failure);
        }
    }

    synchronized List<String> ownEnds() {
        return List.copyOf(ownEnds);
    }

    void startAll() throws IOException {
        for (String name : daemons.keySet()) {
            start(name);
        }
    }

    String leader() {
        return leader;
    }

    /** Sends a signal to a process that this site started. */
    void signal(String name, String signal) throws IOException {
        record("platform sends " + signal + " to " + name);
        daemons.get(name).killed |= signal.equals("KILL") || signal.equals("TERM");
        long pid = daemons.get(name).process.pid();
        try {
            new ProcessBuilder("kill", "-" + signal, String.valueOf(pid)).start().waitFor();
        } catch (InterruptedException interrupted) {
            throw new IOException(interrupted);
        }
    }

    boolean isAlive(String name) {
        return daemons.get(name).process.isAlive();
    }

    /** Sends a configuration until a control process acknowledges it. */
    boolean configure(Map<String, Object> configuration) throws IOException {
        String body = Json.write(configuration);
        long end = millis() + SECONDS_TO_START * 1_000L;
        for (int next = 0; millis() < end; next++) {
            String control = controlAddresses.get(next % controlAddresses.size());
            Http.Response response = Http.call(control, "POST", "/Config.Replace", "control", body, 2_000);
            if (response.status() == 200) {
                record("operator: version " + configuration.get("version") + " acknowledged by " + control);
                forgetBootstrap();
                return true;
            }
            sleep(200);
        }
        return false;
    }

    static Map<String, Object> configuration(long version, String prefix, String service, int attempts) {
        Map<String, Object> route = new LinkedHashMap<>();
        route.put("name", "r-1");
        route.put("hostname", HOST);
        route.put("path_prefix", prefix);
        route.put("route_type", "non_idempotent");
        route.put("timeout_ms", 3_000);
        route.put("slo_target_ms", 1_000);
        route.put("priority", 0);
        route.put("backend", service);
        route.put("attempts", attempts);
        route.put("stretch", 2.0);
        Map<String, Object> pool = new LinkedHashMap<>();
        pool.put("name", service);
        pool.put("health_path", "/healthz");
        pool.put("max_conns", 64);
        pool.put("protocol", "h1");
        pool.put("tls_enabled", false);
        pool.put("enforces_capacity", false);
        pool.put("standby", false);
        Map<String, Object> configuration = new LinkedHashMap<>();
        configuration.put("version", version);
        configuration.put("routes", List.of(route));
        configuration.put("services", List.of(pool));
        configuration.put(
                "limits",
                Map.of(
                        "max_header_bytes", 16_384,
                        "max_body_bytes", 262_144,
                        "header_timeout_ms", 3_000,
                        "idle_timeout_ms", 15_000));
        return configuration;
    }

    /** One call of a client. */
    Http.Response client(int entry, String method, String path, String body, int timeoutMillis) {
        record("client sends " + method + " " + path + " to entry-" + entry);
        Http.Response response = Http.call(front(entry), method, path, HOST, body, timeoutMillis);
        record("client gets " + response.status() + " " + response.body() + " for " + method + " " + path);
        return response;
    }

    /** Submits a job as a client does: after no clear answer the same again, at any entry. */
    boolean submit(int entries, String path, String body) {
        for (int tries = 0; tries < 20; tries++) {
            Http.Response response = client(1 + tries % entries, "POST", path, body, 3_000);
            if (response.status() / 100 == 2) {
                return true;
            }
            sleep(500);
        }
        return false;
    }

    @Override
    public void close() {
        closing = true;
        for (Daemon daemon : daemons.values()) {
            if (daemon.process != null && daemon.process.isAlive()) {
                daemon.process.destroyForcibly();
                try {
                    daemon.process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException interrupted) {
                    Thread.currentThread().interrupt();
                }
            }
        }
        synchronized (this) {
            record.flush();
        }
    }

    static void delete(Path folder) {
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException ignored) {
            // A temporary folder; nothing depends on it.
        }
    }
}
