import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: control processes and entries of the project, started with the commands of the deploy
 * file, and minions of the case. Its settings are filled into the project's templates, with the bounds of the site
 * {@code platnica-sched}.
 */
final class Site implements AutoCloseable {
    static final String SERVICE = "portfolio-svc";
    static final String HOST = "nony24.example";
    static final long MINION_CPU = 32_000;
    static final long MINION_MEMORY = 128_000;
    /** hold_max_ms and stop_grace_ms of the site platnica-sched, unless a case sets others. */
    final long holdMaxMillis = Long.getLong("hold_max_ms", 6_000);
    final long stopGraceMillis = Long.getLong("stop_grace_ms", 200);
    final long heartbeatMillis = 1_500;
    final Record record;
    final Web web = new Web();
    final List<Program> controls = new ArrayList<>();
    final List<Program> entries = new ArrayList<>();
    final List<Minion> minions = new ArrayList<>();
    /** How often a task of each job has begun, by job id. */
    final Map<String, Integer> begins = new ConcurrentHashMap<>();
    /** How each run ended. */
    final List<String> ends = java.util.Collections.synchronizedList(new ArrayList<>());
    private final Path root = Path.of("").toAbsolutePath();
    private final Path folder;
    private final String network;
    private final int port;
    private int nextMinion = 100;

    /** A process of the project. */
    final class Program {
        final String role;
        final String ip;
        private final Path settings;
        private Process process;

        Program(String role, String ip) {
            this.role = role;
            this.ip = ip;
            settings = folder.resolve(role + "-" + ip + ".ini");
        }

        /** Returns where the program takes its callers. */
        String address() {
            return ip + ":" + (role.equals("control") ? port + 2 : port + 3);
        }

        void start(boolean first) throws IOException {
            Files.writeString(settings, fill(role, ip, first));
            List<String> command = new ArrayList<>();
            for (String word : command(role).split(" ")) {
                command.add(word.equals("/etc/nettlering/node.json") ? settings.toString() : word);
            }
            process = new ProcessBuilder(command)
                    .directory(root.toFile())
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(
                            folder.resolve(role + "-" + ip + ".log").toFile()))
                    .start();
            record.line(role + " " + ip + " is started");
        }

        void signal(String name) throws IOException, InterruptedException {
            record.line(role + " " + ip + " gets SIG" + name);
            new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
        }

        void end() {
            if (process != null) {
                process.destroyForcibly();
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException interrupted) {
                    Thread.currentThread().interrupt();
                }
            }
        }
    }

    Site(Record record, int controlCount, int entryCount) throws IOException {
        this.record = record;
        folder = Files.createTempDirectory("review-3-");
        Random random = new Random();
        network = "127." + (1 + random.nextInt(250)) + "." + (1 + random.nextInt(250)) + ".";
        port = freePorts(random);
        for (int index = 0; index < controlCount; index++) {
            controls.add(new Program("control", network + (10 + index)));
        }
        for (int index = 0; index < entryCount; index++) {
            entries.add(new Program("entry", network + (40 + index)));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::endPrograms));
    }

    /** Returns the control process that took the leadership last, by the logs. */
    Program leader() throws IOException {
        Program leader = controls.getFirst();
        long latest = 0;
        for (Program program : controls) {
            for (String line : Files.readAllLines(folder.resolve(program.role + "-" + program.ip + ".log"))) {
                // The event of the start of a leadership; the line begins with {"timestamp":MILLIS,
                if (line.contains("\"NTL-3305\"")) {
                    long millis = Long.parseLong(line.substring(line.indexOf(':') + 1, line.indexOf(',')));
                    if (millis > latest) {
                        latest = millis;
                        leader = program;
                    }
                }
            }
        }
        return leader;
    }

    private int freePorts(Random random) throws IOException {
        while (true) {
            int first = 20_000 + random.nextInt(10_000);
            boolean free = true;
            for (int offset = 0; offset < 6 && free; offset++) {
                try (ServerSocket socket = new ServerSocket()) {
                    socket.bind(new InetSocketAddress(network + "10", first + offset));
                } catch (IOException taken) {
                    free = false;
                }
            }
            if (free) {
                return first;
            }
        }
    }

    private String command(String role) throws IOException {
        boolean inRole = false;
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("[")) {
                inRole = line.equals("[roles." + role + "]");
            } else if (inRole && line.startsWith("run = ")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new IOException("no command of " + role);
    }

    private String fill(String role, String ip, boolean first) throws IOException {
        Map<String, String> values = new HashMap<>();
        values.put("ip", ip);
        values.put("zone", "zone-a");
        values.put("port_range.0", String.valueOf(port));
        values.put("port_range.1", String.valueOf(port + 1));
        values.put("listen_addrs.control", ip + ":" + (port + 2));
        values.put("listen_addrs.front", ip + ":" + (port + 3));
        values.put("listen_addrs.ready", ip + ":" + (port + 4));
        values.put("data_dir", folder.resolve("data-" + ip).toString());
        values.put(
                "seed_nodes",
                String.join(",", controls.stream().limit(3).map(Program::address).toList()));
        values.put("bootstrap", String.valueOf(first));
        values.put("fault_tolerance.machines", "1");
        values.put("bounds.hold_max_ms", String.valueOf(holdMaxMillis));
        values.put("bounds.stop_grace_ms", String.valueOf(stopGraceMillis));
        String text = Files.readString(root.resolve("deploy/templates/" + role + ".ini"));
        for (Map.Entry<String, String> value : values.entrySet()) {
            text = text.replace("{{" + value.getKey() + "}}", value.getValue());
        }
        if (text.contains("{{")) {
            throw new IOException("a value of " + role + " is missing: " + text);
        }
        return text;
    }

    /** Starts all programs and waits until every entry is ready. */
    void start() throws IOException, InterruptedException {
        for (Program program : controls) {
            program.start(true);
        }
        for (Program program : entries) {
            program.start(true);
        }
    }

    boolean awaitReady(long millis) throws InterruptedException {
        long until = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < until) {
            boolean ready = true;
            for (Program entry : entries) {
                ready &= web.get(entry.ip + ":" + (port + 4), "", "/ready", 900).status() == 200;
            }
            if (ready) {
                record.line("all entries are ready");
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    Minion addMinion(String kind, String rack) throws IOException {
        return addMinionAt(network + nextMinion++, kind, rack);
    }

    Minion addMinionAt(String ip, String kind, String rack) throws IOException {
        return addMinionAt(String.format("i-%08x", new Random().nextInt()), ip, kind, rack);
    }

    Minion addMinionAt(String id, String ip, String kind, String rack) throws IOException {
        Minion minion = new Minion(this, id, new InetSocketAddress(ip, port + 5), kind, rack);
        synchronized (minions) {
            minions.add(minion);
        }
        minion.start();
        return minion;
    }

    static Map<String, Object> route(String name, String prefix, int priority, int attempts) {
        Map<String, Object> route = new LinkedHashMap<>();
        route.put("name", name);
        route.put("hostname", HOST);
        route.put("path_prefix", prefix);
        route.put("route_type", "non_idempotent");
        route.put("timeout_ms", 3_000);
        route.put("slo_target_ms", 1_000);
        route.put("priority", priority);
        route.put("backend", SERVICE);
        route.put("attempts", attempts);
        route.put("stretch", 2.0);
        return route;
    }

    /** Sends a configuration, as the operator does, until it is acknowledged. */
    boolean configure(long version, List<Map<String, Object>> routes) throws InterruptedException {
        Map<String, Object> service = new LinkedHashMap<>();
        service.put("name", SERVICE);
        service.put("health_path", "/healthz");
        service.put("max_conns", 64);
        service.put("protocol", "h1");
        service.put("tls_enabled", false);
        service.put("enforces_capacity", false);
        service.put("standby", false);
        Map<String, Object> limits = new LinkedHashMap<>();
        limits.put("max_header_bytes", 16_384);
        limits.put("max_body_bytes", 262_144);
        limits.put("header_timeout_ms", 3_000);
        limits.put("idle_timeout_ms", 15_000);
        Map<String, Object> configuration = new LinkedHashMap<>();
        configuration.put("version", version);
        configuration.put("routes", routes);
        configuration.put("services", List.of(service));
        configuration.put("limits", limits);
        for (int attempt = 0; attempt < 60; attempt++) {
            Program control = controls.get(attempt % controls.size());
            if (web.post(control.address(), "", "/Config.Replace", Json.write(configuration), 1_500).status() == 200) {
                record.line("configuration " + version + " is acknowledged");
                return true;
            }
            Thread.sleep(500);
        }
        return false;
    }

    /** Returns a step; the further words are names and values of its other fields. */
    static Map<String, Object> step(int count, long cpu, long memory, long estimate, Object... fields) {
        Map<String, Object> step = new LinkedHashMap<>();
        step.put("count", count);
        step.put("cpu", cpu);
        step.put("mem_mb", memory);
        step.put("est_runtime_ms", estimate);
        for (int index = 0; index < fields.length; index += 2) {
            step.put((String) fields[index], fields[index + 1]);
        }
        return step;
    }

    static String jobId() {
        return String.format("%016x", new Random().nextLong());
    }

    /** Hands a job in, as a client does: again with the same id after no clear answer. Returns the last status. */
    int submit(String prefix, String id, String specification, List<Map<String, Object>> steps)
            throws InterruptedException {
        Map<String, Object> job = new LinkedHashMap<>();
        job.put("task_spec", specification);
        job.put("steps", steps);
        int status = 0;
        for (int attempt = 0; attempt < 5; attempt++) {
            Program entry = entries.get(attempt % entries.size());
            status = web.post(entry.address(), HOST, prefix + id, Json.write(job), 3_000).status();
            record.line("POST " + prefix + id + " (" + specification + ") -> " + status);
            if (status != 0 && status != 502 && status != 504 && status != 503 && status != 429) {
                return status;
            }
            Thread.sleep(300);
        }
        return status;
    }

    Web.Response show(String prefix, String id) {
        Web.Response response =
                web.get(entries.get(0).address(), HOST, prefix + id, 3_000);
        record.line("GET " + prefix + id + " -> " + response.status() + " " + response.body());
        return response;
    }

    void begun(String task, long number) {
        begins.merge(task.substring(0, task.indexOf('.')), 1, Integer::sum);
    }

    void ended(String task, long number, String how) {
        ends.add(task + " " + number + " " + how);
    }

    int begins(String jobId) {
        return begins.getOrDefault(jobId, 0);
    }

    long ends(String jobId, String how) {
        synchronized (ends) {
            return ends.stream().filter(end -> end.startsWith(jobId) && end.endsWith(how)).count();
        }
    }

    private void endPrograms() {
        controls.forEach(Program::end);
        entries.forEach(Program::end);
    }

    @Override
    public void close() throws IOException {
        synchronized (minions) {
            record.line("the case is over, its minions end");
            minions.forEach(Minion::dispose);
        }
        endPrograms();
        web.close();
        if (System.getenv("KEEP_LOGS") != null) {
            System.err.println("the logs are in " + folder);
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    /** A case: returns whether the rule held. */
    interface Case {
        boolean holds(Site site, boolean trouble) throws Exception;
    }

    /** Runs a case and exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
    static void run(String[] arguments, int controlCount, int entryCount, Case test) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        Record record = new Record(Path.of(arguments[0]));
        try (Site site = new Site(record, controlCount, entryCount)) {
            record.line(trouble ? "with the disruption" : "without the disruption");
            site.start();
            boolean held = test.holds(site, trouble);
            record.line(held ? "the rule held" : "THE RULE WAS BROKEN");
            status = held ? 0 : 1;
        } catch (Exception failure) {
            record.line("the case could not run: " + failure + " " + Arrays.toString(failure.getStackTrace()));
        }
        record.close();
        System.exit(status);
    }

    /** Ends the case as one that could not run unless a condition holds. */
    static void require(boolean condition, String what) {
        if (!condition) {
            throw new IllegalStateException(what);
        }
    }
}
