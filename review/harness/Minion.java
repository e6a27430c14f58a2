import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;

/**
 * A stand-in minion that follows PROTOCOL.md ("Running tasks", "Service discovery"): fencing, leases, run ids, ends that are
 * returned until last_seen reaches them, 500 at a time, and long polls.
 */
final class Minion {
    /** The most ends that a response lists. */
    private static final int ENDS_AT_A_TIME = 500;

    private static final long HOLD_MAX_MILLIS = 6_000;

    private static final long HEARTBEAT_MILLIS = 1_500;

    final String id;
    final String address;
    private final Site site;
    private final String service;
    private final long startedNanos = System.nanoTime();
    private final HttpServer server;
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final TreeMap<Long, End> ends = new TreeMap<>();
    /** The highest run of each task that was stopped or has ended here. */
    private final Map<String, Long> over = new HashMap<>();
    private long highestToken;
    private long deadlineMillis;
    private long lastEnd;
    /** The Unix millisecond of the start, told where a minion may start again under its id; zero if it is not. */
    private volatile long born;
    private long sequence;
    private boolean up = true;
    private long drainEndMillis;
    /** The addresses of the control processes, one of which takes the heartbeats. */
    private final List<Http.Kept> controls = new ArrayList<>();
    private int nextControl;

    private record Run(String task, long number, long startMillis, long workMillis) {
        boolean lasts() {
            return workMillis == 0;
        }
    }

    private record End(long n, String task, long run, String how) {}

    Minion(Site site, String id, String ip, int port, String service) throws IOException {
        this(site, id, ip, port, ip + ":" + port, site.controlAddresses(), service);
    }

    /** Creates a minion that is reached at another address, and reaches the control processes at others, as over links. */
    Minion(Site site, String id, String ip, int port, String address, List<String> controls, String service)
            throws IOException {
        this.site = site;
        this.id = id;
        this.service = service;
        this.address = address;
        controls.forEach(control -> this.controls.add(new Http.Kept(control)));
        nextControl = Math.floorMod(id.hashCode(), controls.size());
        server = HttpServer.create(new InetSocketAddress(ip, port), 256);
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.createContext("/", this::receive);
        server.start();
        Thread.ofVirtual().start(this::work);
        Thread.ofVirtual().start(this::sendHeartbeats);
    }

    /** Says in its reports and lists when it started. */
    Minion tellsBirth() {
        born = System.currentTimeMillis();
        return this;
    }

    synchronized int runningCount() {
        return running.size();
    }

    synchronized boolean isUp() {
        return up;
    }

    /** Ends the process of the minion: nothing answers, and everything that ran is gone. */
    void crash() {
        synchronized (this) {
            up = false;
            running.values().forEach(run -> site.gone(this, run.task(), run.number()));
            running.clear();
            notifyAll();
        }
        server.stop(0);
    }

    /** Returns how long a task works: "work N" for N milliseconds, anything else until it is stopped. */
    private static long workOf(String spec) {
        return spec.startsWith("work ") ? Long.parseLong(spec.substring(5)) : 0;
    }

    private long clock() {
        return (System.nanoTime() - startedNanos) / 1_000_000 + 1_000;
    }

    private void work() {
        while (isUp()) {
            Site.sleep(10);
            synchronized (this) {
                long now = clock();
                boolean lapsed = !running.isEmpty() && now >= deadlineMillis;
                for (Run run : List.copyOf(running.values())) {
                    if (lapsed) {
                        end(run, "lapsed");
                    } else if (!run.lasts() && now - run.startMillis() >= run.workMillis()) {
                        end(run, "done");
                    }
                }
            }
        }
    }

    private void end(Run run, String how) {
        running.remove(run.task());
        over.merge(run.task(), run.number(), Math::max);
        lastEnd++;
        ends.put(lastEnd, new End(lastEnd, run.task(), run.number(), how));
        site.ended(this, run.task(), run.number(), how);
        notifyAll();
    }

    private void receive(HttpExchange exchange) throws IOException {
        try (exchange) {
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            String path = exchange.getRequestURI().getPath();
            if (!exchange.getRequestMethod().equals("POST")) {
                respond(exchange, 200, Map.of());
                return;
            }
            String expected = exchange.getRequestHeaders().getFirst("Expected-Instance");
            if (expected != null && !expected.equals(id)) {
                respond(exchange, 421, Map.of("clock_ms", clock()));
                return;
            }
            Map<String, Object> order = Json.object(body);
            switch (path) {
                case "/run-start" -> start(exchange, order);
                case "/run-stop" -> stop(exchange, order);
                case "/hold" -> hold(exchange, order);
                case "/pace" -> pace(exchange, order);
                default -> respond(exchange, 404, Map.of());
            }
        } catch (RuntimeException failure) {
            respond(exchange, 400, Map.of("clock_ms", clock()));
        }
    }

    private static long number(Map<String, Object> order, String name) {
        return order.get(name) instanceof Long value ? value : 0;
    }

    private void requireUp() throws IOException {
        if (!up) {
            throw new IOException("down");
        }
    }

    /** Returns whether the order comes from the newest holder. */
    private boolean passesFence(Map<String, Object> order) {
        long token = number(order, "fencing_token");
        highestToken = Math.max(highestToken, token);
        return token >= highestToken;
    }

    private void takeDeadline(Map<String, Object> order) {
        long asked = Math.min(number(order, "deadline_ms"), clock() + HOLD_MAX_MILLIS);
        deadlineMillis = Math.max(deadlineMillis, asked);
    }

    private void start(HttpExchange exchange, Map<String, Object> order) throws IOException {
        String task = String.valueOf(order.get("task"));
        long number = number(order, "run_id");
        String refusal = "";
        synchronized (this) {
            requireUp();
            Run present = running.get(task);
            if (!passesFence(order)) {
                refusal = "fence";
            } else if (number(order, "deadline_ms") <= clock()) {
                refusal = "late";
            } else if (present != null && present.number() == number) {
                takeDeadline(order);
            } else if (over.getOrDefault(task, 0L) >= number || present != null) {
                takeDeadline(order);
                refusal = "old";
            } else {
                takeDeadline(order);
                String spec = String.valueOf(order.get("task_spec"));
                running.put(task, new Run(task, number, clock(), workOf(spec)));
                site.started(this, task, number, spec);
            }
        }
        if (refusal.isEmpty()) {
            respond(exchange, 200, Map.of("clock_ms", clock()));
        } else {
            respond(exchange, 409, Map.of("clock_ms", clock(), "reason", refusal));
        }
    }

    private void stop(HttpExchange exchange, Map<String, Object> order) throws IOException {
        String task = String.valueOf(order.get("task"));
        long number = number(order, "run_id");
        boolean accepted;
        synchronized (this) {
            requireUp();
            accepted = passesFence(order);
            if (accepted) {
                Run present = running.get(task);
                if (present != null && present.number() <= number) {
                    end(present, "stopped");
                }
                over.merge(task, number, Math::max);
            }
        }
        respondTo(exchange, accepted);
    }

    private void pace(HttpExchange exchange, Map<String, Object> order) throws IOException {
        boolean accepted;
        synchronized (this) {
            accepted = passesFence(order);
        }
        respondTo(exchange, accepted);
    }

    private void respondTo(HttpExchange exchange, boolean accepted) throws IOException {
        if (accepted) {
            respond(exchange, 200, Map.of("clock_ms", clock()));
        } else {
            respond(exchange, 409, Map.of("clock_ms", clock(), "reason", "fence"));
        }
    }

    private void hold(HttpExchange exchange, Map<String, Object> order) throws IOException {
        Map<String, Object> response = new LinkedHashMap<>();
        synchronized (this) {
            requireUp();
            if (!passesFence(order)) {
                response.put("clock_ms", clock());
                response.put("reason", "fence");
            } else {
                takeDeadline(order);
                long seen = number(order, "last_seen");
                for (End end : List.copyOf(ends.headMap(seen, true).values())) {
                    ends.remove(end.n());
                    site.seen(this, end.task(), end.run(), end.how());
                }
                waitForEnd(Math.min(2_000, number(order, "wait_ms")));
                List<Object> rows = new ArrayList<>();
                running.values().forEach(run -> rows.add(List.of(run.task(), run.number(), "", percent(run), 1)));
                List<Object> listed = new ArrayList<>();
                ends.values().stream()
                        .limit(ENDS_AT_A_TIME)
                        .forEach(end -> listed.add(List.of(end.n(), end.task(), end.run(), end.how(), "")));
                response.put("clock_ms", clock());
                if (born > 0) {
                    response.put("born", born);
                }
                response.put("running", rows);
                response.put("finished", listed);
                site.held(this, number(order, "fencing_token"), rows.size(), listed.size(), ends.size());
            }
        }
        respond(exchange, response.containsKey("reason") ? 409 : 200, response);
    }

    private long percent(Run run) {
        return run.lasts() ? 100 : Math.min(99, (clock() - run.startMillis()) * 100 / run.workMillis());
    }

    private void waitForEnd(long waitMillis) {
        long untilNanos = System.nanoTime() + waitMillis * 1_000_000;
        while (up && ends.isEmpty() && untilNanos - System.nanoTime() > 0) {
            try {
                wait(Math.max(1, (untilNanos - System.nanoTime()) / 1_000_000));
            } catch (InterruptedException interrupted) {
                return;
            }
        }
    }

    private void respond(HttpExchange exchange, int status, Map<String, Object> body) throws IOException {
        if (!isUp()) {
            throw new IOException("down");
        }
        byte[] bytes = Json.write(body).getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
    }

    /** Sends a heartbeat each interval; a life of a minion begins at any moment of the interval. */
    private void sendHeartbeats() {
        Site.sleep(ThreadLocalRandom.current().nextLong(HEARTBEAT_MILLIS));
        while (isUp() && !isLeaving()) {
            boolean taken = report("/Instances.Heartbeat/", heartbeat());
            long until = System.nanoTime() + (taken ? HEARTBEAT_MILLIS : 200) * 1_000_000;
            while (isUp() && !isLeaving() && until - System.nanoTime() > 0) {
                Site.sleep(10);
            }
        }
    }

    private String heartbeat() {
        Map<String, Object> beat = new LinkedHashMap<>();
        beat.put("backend", service);
        beat.put("address", address);
        beat.put("zone", "zone-a");
        beat.put("version", "v1");
        beat.put("slots", 8);
        synchronized (this) {
            beat.put("state", drainEndMillis > 0 ? "draining" : "ready");
            if (drainEndMillis > 0) {
                beat.put("drain_left_ms", Math.max(0, drainEndMillis - clock()));
            }
            sequence++;
            beat.put("sequence", sequence);
        }
        if (born > 0) {
            beat.put("born", born);
        }
        beat.put("cold_left_ms", 0);
        beat.put("capacity", Map.of("cpu", 32_000, "mem_mb", 128_000, "gpus", 0));
        beat.put("labels", List.of("a", "r1"));
        beat.put("clock_ms", clock());
        return Json.write(beat);
    }

    /** Sends a report to one control process, and if it gets no acknowledgement within a second to the next one. */
    private boolean report(String path, String body) {
        synchronized (controls) {
            for (int tries = 0; tries < controls.size() && isUp(); tries++) {
                Http.Response response = controls.get(nextControl).call("POST", path + id, "control", body, 1_000);
                site.record("minion " + id + " gets " + response.status() + " for " + path);
                if (response.status() / 100 == 2) {
                    return true;
                }
                nextControl = (nextControl + 1) % controls.size();
            }
        }
        return false;
    }

    private boolean leaving;

    private synchronized boolean isLeaving() {
        return leaving;
    }

    /** Says that it drains; returns whether that was acknowledged. */
    boolean drain(long millis) {
        synchronized (this) {
            drainEndMillis = clock() + millis;
        }
        site.record("minion " + id + " drains");
        return report("/Instances.Heartbeat/", heartbeat());
    }

    /** Says that it leaves; returns whether that was acknowledged. */
    boolean deregister() {
        synchronized (this) {
            leaving = true;
        }
        site.record("minion " + id + " says that it leaves");
        return report("/Instances.Deregister/", heartbeat());
    }
}
