import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * One life of a minion, as the page on the protocol describes it: it takes starts, stops and holds, keeps the highest fencing
 * token, lets everything lapse with its lease, lists what runs and what ended, and sends heartbeats.
 *
 * <p>What a task does stands in its specification: {@code work MS}, {@code fail MS} or {@code last}.
 */
final class Minion {
    private static final int LISTED_AT_ONCE = 500;
    private static final long STARTUP_MILLIS = 100;

    /** Something that runs. */
    private static final class Run {
        final String task;
        final long number;
        final String specification;
        final long sinceNanos = System.nanoTime();
        boolean stopping;

        Run(String task, long number, String specification) {
            this.task = task;
            this.number = number;
            this.specification = specification;
        }

        long ageMillis() {
            return (System.nanoTime() - sinceNanos) / 1_000_000;
        }

        boolean lasts() {
            return specification.startsWith("last");
        }

        boolean fails() {
            return specification.startsWith("fail");
        }

        long lengthMillis() {
            return Long.parseLong(specification.split(" ")[1]);
        }

        long percent() {
            if (lasts()) {
                return ageMillis() >= STARTUP_MILLIS ? 100 : 0;
            }
            return Math.min(99, 100 * ageMillis() / Math.max(1, lengthMillis()));
        }
    }

    final String id;
    final String kind;
    final String rack;
    private final Site site;
    private final Record record;
    private final InetSocketAddress address;
    private final long startNanos = System.nanoTime();
    private final long bornMillis = System.currentTimeMillis();
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final List<List<Object>> finished = new ArrayList<>();
    private final Map<String, Long> highestEnded = new HashMap<>();
    private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
    private long lastNumber;
    private long token;
    private long leaseMillis;
    private long sequence;
    private int nextControl;
    private volatile boolean up = true;
    private volatile boolean dark;
    /** Whether what the system sends is lost; what the minion sends arrives. */
    private volatile boolean deaf;
    /** Whether what the minion sends is lost. */
    private volatile boolean mute;
    private HttpServer server;

    Minion(Site site, String id, InetSocketAddress address, String kind, String rack) {
        this.site = site;
        this.record = site.record;
        this.id = id;
        this.address = address;
        this.kind = kind;
        this.rack = rack;
    }

    void start() throws IOException {
        server = HttpServer.create(address, 256);
        server.setExecutor(threads);
        server.createContext("/", this::answer);
        server.start();
        threads.execute(this::beat);
        threads.execute(this::live);
        record.line("minion " + id + " is up, kind " + kind + ", rack " + rack);
    }

    /** Ends at once, as a process that crashes: what runs is gone, connections are reset, nothing listens. */
    void crash() {
        synchronized (this) {
            up = false;
            for (Run run : running.values()) {
                record.line("minion " + id + " crashes with " + run.task + " run " + run.number + " after "
                        + run.ageMillis() + " ms");
            }
            running.clear();
            notifyAll();
        }
        server.stop(0);
        threads.shutdownNow();
        record.line("minion " + id + " is down");
    }

    /** Cuts the minion off, in one direction or both, or joins it again. It runs on. */
    void cut(boolean fromSystem, boolean toSystem) {
        deaf = fromSystem;
        mute = toSystem;
        record.line("minion " + id + (fromSystem ? " gets nothing any more" : " gets what is sent to it")
                + (toSystem ? " and nothing of it arrives" : " and what it sends arrives"));
    }

    /** Returns the run of a task of a job that is at work here, or zero. */
    synchronized long runOf(String jobId) {
        return running.values().stream()
                .filter(run -> run.task.startsWith(jobId))
                .mapToLong(run -> run.number)
                .findAny()
                .orElse(0);
    }

    /** Loses power: what runs is gone, and nothing is answered or refused any more. */
    void goDark() {
        synchronized (this) {
            up = false;
            for (Run run : running.values()) {
                record.line("minion " + id + " loses " + run.task + " run " + run.number + " after " + run.ageMillis()
                        + " ms");
            }
            running.clear();
            dark = true;
            notifyAll();
        }
        record.line("minion " + id + " is dark");
    }

    String ip() {
        return address.getHostString();
    }

    boolean isUp() {
        return up;
    }

    synchronized boolean runs(String jobId) {
        return running.keySet().stream().anyMatch(task -> task.startsWith(jobId));
    }

    synchronized int count() {
        return running.size();
    }

    private long clock() {
        return 1_000 + (System.nanoTime() - startNanos) / 1_000_000;
    }

    /** Ends tasks that are done, have failed, or whose lease is over. */
    private void live() {
        while (up) {
            synchronized (this) {
                boolean lapsed = clock() > leaseMillis;
                for (Run run : List.copyOf(running.values())) {
                    if (lapsed) {
                        end(run, "lapsed");
                    } else if (!run.lasts() && !run.stopping && run.ageMillis() >= run.lengthMillis()) {
                        end(run, run.fails() ? "failed" : "done");
                    }
                }
            }
            if (!pause(10)) {
                return;
            }
        }
    }

    private void end(Run run, String how) {
        if (running.remove(run.task, run)) {
            lastNumber++;
            finished.add(List.of(lastNumber, run.task, run.number, how, ""));
            highestEnded.merge(run.task, run.number, Math::max);
            record.line("minion " + id + ": " + run.task + " run " + run.number + " ended " + how + " after "
                    + run.ageMillis() + " ms");
            site.ended(run.task, run.number, how);
            notifyAll();
        }
    }

    private void answer(HttpExchange exchange) throws IOException {
        if (dark || deaf) {
            silence();
            return;
        }
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        String path = exchange.getRequestURI().getPath();
        int status = 200;
        Map<String, Object> response = new LinkedHashMap<>();
        if (!id.equals(exchange.getRequestHeaders().getFirst("Expected-Instance"))) {
            status = 421;
        } else if (path.equals("/healthz")) {
            status = 200;
        } else {
            status = order(path, Json.object(body), response);
        }
        if (dark || mute) {
            silence();
            return;
        }
        if (!up) {
            exchange.close();
            return;
        }
        response.put("clock_ms", clock());
        response.put("born", bornMillis);
        byte[] bytes = Json.write(response).getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().add("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    /** Holds a request without an answer until the case ends. */
    private void silence() {
        try {
            Thread.sleep(300_000);
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    /** Ends what is left of a dark minion, at the end of the case. */
    void dispose() {
        server.stop(0);
        threads.shutdownNow();
    }

    private synchronized int order(String path, Map<String, Object> order, Map<String, Object> response) {
        long fence = Json.number(order, "fencing_token");
        if (fence < token) {
            response.put("reason", "fence");
            return 409;
        }
        token = fence;
        long now = clock();
        long deadline = Math.min(Json.number(order, "deadline_ms"), now + site.holdMaxMillis);
        leaseMillis = Math.max(leaseMillis, deadline);
        return switch (path) {
            case "/run-start" -> startRun(order, deadline, now, response);
            case "/run-stop" -> stopRun(order);
            case "/hold" -> hold(order, response);
            case "/pace" -> 200;
            default -> 400;
        };
    }

    private int startRun(Map<String, Object> order, long deadline, long now, Map<String, Object> response) {
        String task = Json.text(order, "task");
        long number = Json.number(order, "run_id");
        Run present = running.get(task);
        if (present != null && present.number == number) {
            return 200;
        }
        if (number <= highestEnded.getOrDefault(task, 0L)) {
            response.put("reason", "old");
            return 409;
        }
        if (deadline <= now) {
            response.put("reason", "late");
            return 409;
        }
        running.put(task, new Run(task, number, Json.text(order, "task_spec")));
        record.line("minion " + id + ": " + task + " run " + number + " begins");
        site.begun(task, number);
        return 200;
    }

    private int stopRun(Map<String, Object> order) {
        String task = Json.text(order, "task");
        long number = Json.number(order, "run_id");
        highestEnded.merge(task, number, Math::max);
        Run run = running.get(task);
        if (run != null && run.number == number && !run.stopping) {
            run.stopping = true;
            threads.execute(() -> {
                if (pause(site.stopGraceMillis / 4)) {
                    synchronized (this) {
                        end(run, "stopped");
                    }
                }
            });
        }
        return 200;
    }

    private int hold(Map<String, Object> order, Map<String, Object> response) {
        long seen = Json.number(order, "last_seen");
        finished.removeIf(row -> (Long) row.get(0) <= seen);
        long untilNanos = System.nanoTime() + Math.min(2_000, Json.number(order, "wait_ms")) * 1_000_000;
        while (up && finished.isEmpty() && System.nanoTime() < untilNanos) {
            try {
                wait(Math.max(1, (untilNanos - System.nanoTime()) / 1_000_000));
            } catch (InterruptedException ended) {
                return 200;
            }
        }
        List<Object> rows = new ArrayList<>();
        for (Run run : running.values()) {
            rows.add(List.of(run.task, run.number, "", run.percent(), 1L));
        }
        response.put("running", rows);
        response.put("finished", List.copyOf(finished.subList(0, Math.min(LISTED_AT_ONCE, finished.size()))));
        return 200;
    }

    /** Sends heartbeats; one that is not acknowledged goes to the next daemon. */
    private void beat() {
        while (up) {
            Map<String, Object> beat = new LinkedHashMap<>();
            beat.put("backend", Site.SERVICE);
            beat.put("address", address.getHostString() + ":" + address.getPort());
            beat.put("zone", "zone-a");
            beat.put("version", "v1");
            beat.put("slots", 8);
            beat.put("state", "ready");
            beat.put("cold_left_ms", 0);
            beat.put("capacity", Map.of("cpu", Site.MINION_CPU, "mem_mb", Site.MINION_MEMORY, "gpus", 0));
            beat.put("labels", List.of(kind, rack));
            beat.put("clock_ms", clock());
            beat.put("sequence", ++sequence);
            beat.put("born", bornMillis);
            for (int attempt = 0; up && !mute && attempt < site.controls.size(); attempt++) {
                String control = site.controls.get(nextControl % site.controls.size()).address();
                if (site.web.post(control, "", "/Instances.Heartbeat/" + id, Json.write(beat), 1_000).status() == 200) {
                    break;
                }
                nextControl++;
            }
            if (!pause(site.heartbeatMillis)) {
                return;
            }
        }
    }

    private boolean pause(long millis) {
        try {
            Thread.sleep(millis);
            return up;
        } catch (InterruptedException ended) {
            return false;
        }
    }
}
