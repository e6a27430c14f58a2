import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * The project's own programs on loopback, started with the commands of the deploy file: control processes at 127.0.1.N, entries
 * at 127.0.2.N. Ports are the same on all machines, as in a deployment.
 */
final class Site implements AutoCloseable {
    static final String HOST = "nony24.example";
    static final String PREFIX = "/pufi791/";
    static final String POOL = "huvo11a";

    private final Path folder;
    private final Record record;
    private final int peersPort;
    private final int metricsPort;
    private final int controlPort;
    private final int frontPort;
    private final int readyPort;
    private final int controlCount;
    private final Map<String, Process> processes = new LinkedHashMap<>();

    Site(Record record, int controlCount, int entryCount) throws IOException {
        this.record = record;
        this.controlCount = controlCount;
        folder = Files.createTempDirectory("review-2-");
        int[] ports = freePorts(5);
        peersPort = ports[0];
        metricsPort = ports[1];
        controlPort = ports[2];
        frontPort = ports[3];
        readyPort = ports[4];
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        for (int n = 1; n <= controlCount; n++) {
            startControl(n);
        }
        for (int n = 1; n <= entryCount; n++) {
            startEntry(n);
        }
    }

    static int[] freePorts(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        int[] ports = new int[count];
        for (int i = 0; i < count; i++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("0.0.0.0"));
            sockets.add(socket);
            ports[i] = socket.getLocalPort();
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    private String seeds() {
        StringBuilder text = new StringBuilder();
        for (int n = 1; n <= Math.min(3, controlCount); n++) {
            text.append(n == 1 ? "" : ",").append("127.0.1.").append(n).append(':').append(controlPort);
        }
        return text.toString();
    }

    /** The template of the deploy file, filled in. */
    private Path settings(String role, String ip, String zone, Map<String, String> values) throws IOException {
        String text = Files.readString(Path.of("deploy/templates/" + role + ".ini"));
        Map<String, String> all = new LinkedHashMap<>(values);
        all.put("ip", ip);
        all.put("zone", zone);
        all.put("port_range.0", String.valueOf(peersPort));
        all.put("port_range.1", String.valueOf(metricsPort));
        all.put("seed_nodes", seeds());
        for (Map.Entry<String, String> entry : all.entrySet()) {
            text = text.replace("{{" + entry.getKey() + "}}", entry.getValue());
        }
        if (text.contains("{{")) {
            throw new IOException("the template of " + role + " has a field that is not known here");
        }
        Path file = folder.resolve(role + "-" + ip + ".ini");
        Files.writeString(file, text);
        return file;
    }

    private static String command(String role) throws IOException {
        boolean inRole = false;
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("[")) {
                inRole = line.strip().equals("[roles." + role + "]");
            } else if (inRole && line.startsWith("run = ")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new IOException("the deploy file has no command for " + role);
    }

    private void start(String name, String role, Path settings) throws IOException {
        List<String> words = new ArrayList<>();
        for (String word : command(role).split(" ")) {
            words.add(word.equals("/etc/nettlering/node.json") ? settings.toString() : word);
        }
        Path log = folder.resolve(name + ".log");
        Process process = new ProcessBuilder(words)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .start();
        synchronized (processes) {
            processes.put(name, process);
        }
        record.line("start " + name);
    }

    void startControl(int n) throws IOException {
        String ip = "127.0.1." + n;
        Path data = Files.createDirectories(folder.resolve("data-" + n));
        boolean first = !Files.exists(folder.resolve("control-" + n + ".log"));
        start(
                "control-" + n,
                "control",
                settings(
                        "control",
                        ip,
                        "zone-" + n,
                        Map.of(
                                "data_dir", data.toString(),
                                "bootstrap", String.valueOf(first),
                                "fault_tolerance.machines", "1",
                                "bounds.hold_max_ms", "6000",
                                "bounds.stop_grace_ms", "200",
                                "listen_addrs.control", ip + ":" + controlPort)));
    }

    void startEntry(int n) throws IOException {
        String ip = "127.0.2." + n;
        start(
                "entry-" + n,
                "entry",
                settings(
                        "entry",
                        ip,
                        "zone-" + n,
                        Map.of(
                                "listen_addrs.front", ip + ":" + frontPort,
                                "listen_addrs.ready", ip + ":" + readyPort)));
    }

    String control(int n) {
        return "127.0.1." + n + ":" + controlPort;
    }

    List<String> controls() {
        List<String> all = new ArrayList<>();
        for (int n = 1; n <= controlCount; n++) {
            all.add(control(n));
        }
        return all;
    }

    String entry(int n) {
        return "127.0.2." + n + ":" + frontPort;
    }

    String ready(int n) {
        return "127.0.2." + n + ":" + readyPort;
    }

    /** Sends a signal to a process of this site. */
    void signal(String name, String signal) throws IOException, InterruptedException {
        Process process;
        synchronized (processes) {
            process = processes.get(name);
        }
        record.line("SIG" + signal + " to " + name);
        new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid()))
                .inheritIO()
                .start()
                .waitFor();
    }

    static String configuration(int version) {
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-1\",\"hostname\":\"" + HOST
                + "\",\"path_prefix\":\"" + PREFIX
                + "\",\"route_type\":\"non_idempotent\",\"timeout_ms\":3000,\"slo_target_ms\":1000,\"priority\":0,\"backend\":\""
                + POOL + "\",\"attempts\":2,\"stretch\":2.0}],\"services\":[{\"name\":\"" + POOL
                + "\",\"health_path\":\"/healthz\",\"max_conns\":64,\"protocol\":\"h1\",\"tls_enabled\":false,"
                + "\"enforces_capacity\":false,\"standby\":false}],\"limits\":{\"max_header_bytes\":16384,"
                + "\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
    }

    /** Waits until a configuration is acknowledged and all entries are ready; returns whether that came about. */
    boolean awaitReady(int entryCount, long limitMillis) {
        long end = record.millis() + limitMillis;
        boolean configured = false;
        while (record.millis() < end) {
            for (int n = 1; n <= controlCount && !configured; n++) {
                configured = Http.call(control(n), "POST", "/Config.Replace", "control", configuration(1), 2_000)
                                .status()
                        == 200;
            }
            boolean ready = configured;
            for (int n = 1; n <= entryCount && ready; n++) {
                ready = Http.call(ready(n), "GET", "/ready", "ready", "", 1_000).status() == 200;
            }
            if (ready) {
                record.line("the configuration is acknowledged, all entries are ready");
                return true;
            }
            Minion.pause(200);
        }
        record.say("the site did not become ready");
        return false;
    }

    /** Ends every process and removes the folder. */
    @Override
    public void close() {
        synchronized (processes) {
            for (Process process : processes.values()) {
                process.destroyForcibly();
            }
            for (Process process : processes.values()) {
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
            processes.clear();
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // It was removed already.
        }
    }
}
