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
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;

/**
 * One life of a minion, as PROTOCOL.md describes it: it reports itself, starts, stops and lists runs, keeps the highest fencing
 * token, and kills everything when its lease has expired.
 */
final class Minion {
    /** What a minion does, for the checks. */
    record Event(long millis, String minion, String task, long run, String what) {}

    static final long HOLD_MAX_MILLIS = 6_000;
    static final long HEARTBEAT_MILLIS = 1_500;

    /** The tail of a serving task without tasks that fill beside it, and what a core of these adds at full speed. */
    static final long SERVING_TAIL_MILLIS = 38;
    static double tailMillisPerFillingCore = 2;

    /**
     * A run. The specification of its task is the run time in milliseconds, or "serves", "fills" or "lasts" and the thousandths of
     * a core of a task that lasts, or "fill", the run time and the thousandths of a core of a task that fills and ends.
     */
    private static final class Run {
        final String task;
        final long run;
        final boolean serves;
        final boolean fills;
        final boolean keeps;
        final boolean lasts;
        final long workMillis;
        final long millicores;
        double doneMillis;
        boolean fails;
        long updatedMillis;
        long percent = 100;

        Run(String task, long run, String specification, long now) {
            this.task = task;
            this.run = run;
            String[] words = specification.split(" ");
            serves = words[0].equals("serves");
            boolean ends = words[0].equals("fill");
            fills = words[0].equals("fills") || ends;
            keeps = words[0].equals("lasts");
            lasts = serves || keeps || words[0].equals("fills");
            workMillis = lasts ? 0 : Long.parseLong(words[ends ? 1 : 0]);
            millicores = lasts || ends ? Long.parseLong(words[words.length - 1]) : 1_000;
            updatedMillis = now;
        }

        void update(long now) {
            doneMillis += (now - updatedMillis) * percent / 100.0;
            updatedMillis = now;
        }

        boolean isDone() {
            return !lasts && doneMillis >= workMillis;
        }

        long progress() {
            return lasts ? 100 : Math.clamp((long) (100 * doneMillis / Math.max(1, workMillis)), 0, 99);
        }
    }

    final String id;
    final String address;
    private final String pool;
    private final String zone;
    private final String rack;
    private final List<String> controls;
    private final Record record;
    private final Consumer<Event> events;
    private final long bornNanos = System.nanoTime();
    private final HttpServer server;
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final Map<String, Long> endedRuns = new HashMap<>();
    private final List<Object> finished = new ArrayList<>();
    private long endCount;
    private long fence;
    private long leaseMillis;
    private long sequence;
    private volatile boolean alive = true;

    /** Whether everything that starts fails at once. */
    private volatile boolean failing;

    Minion(
            String id,
            String address,
            String pool,
            String zone,
            String rack,
            List<String> controls,
            Record record,
            Consumer<Event> events)
            throws IOException {
        this.id = id;
        this.address = address;
        this.pool = pool;
        this.zone = zone;
        this.rack = rack;
        this.controls = controls;
        this.record = record;
        this.events = events;
        int colon = address.lastIndexOf(':');
        server = HttpServer.create(
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))), 64);
        server.setExecutor(executor);
        server.createContext("/", this::handle);
        server.start();
        Thread.ofVirtual().start(this::heartbeats);
        Thread.ofVirtual().start(this::ticks);
    }

    /** Ends as by a crash: nothing is said, every connection is closed. */
    void crash() {
        synchronized (this) {
            alive = false;
            running.values().forEach(run -> event(run, "lost in a crash"));
            running.clear();
            notifyAll();
        }
        record.line(id + " at " + address + " crashes");
        server.stop(0);
        executor.shutdownNow();
    }

    /** Has everything that starts from now on fail, or not any more. */
    void setFailing(boolean fails) {
        record.line(id + (fails ? " fails all that it starts" : " is sound again"));
        failing = fails;
    }

    /** Has a task fail by itself. */
    synchronized void fail(String task) {
        running.get(task).fails = true;
    }

    synchronized boolean isRunning(String task) {
        return running.containsKey(task);
    }

    /** Returns the tasks of a job that run here. */
    synchronized List<String> runningOf(String job) {
        return running.keySet().stream().filter(task -> task.startsWith(job + ".")).toList();
    }

    /** Returns all tasks that run here. */
    synchronized List<String> allRunning() {
        return List.copyOf(running.keySet());
    }

    private long clockMillis() {
        return (System.nanoTime() - bornNanos) / 1_000_000 + 1_000;
    }

    private void event(Run run, String what) {
        record.line(id + " " + run.task + " run " + run.run + " " + what);
        events.accept(new Event(record.millis(), id, run.task, run.run, what));
    }

    private void heartbeats() {
        int next = Math.floorMod(id.hashCode(), controls.size());
        while (alive) {
            Map<String, Object> body = new LinkedHashMap<>();
            body.put("backend", pool);
            body.put("address", address);
            body.put("zone", zone);
            body.put("version", "v1");
            body.put("slots", 8);
            body.put("state", "ready");
            body.put("cold_left_ms", 0);
            body.put("capacity", Map.of("cpu", 32_000, "mem_mb", 128_000, "gpus", 0));
            body.put("labels", List.of("a", rack));
            body.put("clock_ms", clockMillis());
            body.put("sequence", ++sequence);
            boolean acknowledged = false;
            for (int tries = 0; tries < controls.size() && alive && !acknowledged; tries++) {
                Http.Response response = Http.call(
                        controls.get(next), "POST", "/Instances.Heartbeat/" + id, "control", Json.write(body), 1_000);
                acknowledged = response.status() / 100 == 2;
                if (!acknowledged) {
                    next = (next + 1) % controls.size();
                }
            }
            pause(HEARTBEAT_MILLIS);
        }
    }

    private void ticks() {
        while (alive) {
            synchronized (this) {
                long now = clockMillis();
                if (leaseMillis <= now) {
                    List.copyOf(running.values()).forEach(run -> end(run, "lapsed"));
                }
                running.values().forEach(run -> run.update(now));
                List.copyOf(running.values()).stream().filter(run -> run.fails).forEach(run -> end(run, "failed"));
                List.copyOf(running.values()).stream().filter(Run::isDone).forEach(run -> end(run, "done"));
            }
            pause(10);
        }
    }

    private void end(Run run, String how) {
        running.remove(run.task);
        endedRuns.merge(run.task, run.run, Math::max);
        finished.add(List.of(++endCount, run.task, run.run, how, ""));
        event(run, how);
        notifyAll();
    }

    private void handle(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        if (!alive) {
            exchange.close();
            return;
        }
        String expected = exchange.getRequestHeaders().getFirst("Expected-Instance");
        if (expected != null && !expected.equals(id)) {
            respond(exchange, 421, Map.of("clock_ms", clockMillis()));
            return;
        }
        Map<String, Object> command = Json.object(body);
        switch (exchange.getRequestURI().getPath()) {
            case "/run-start" -> start(exchange, command);
            case "/run-stop" -> stop(exchange, command);
            case "/hold" -> hold(exchange, command);
            case "/pace" -> pace(exchange, command);
            default -> respond(exchange, 400, Map.of("clock_ms", clockMillis()));
        }
    }

    /** Checks the token and takes the deadline; returns whether the command is refused. */
    private boolean isFenced(Map<String, Object> command) {
        long token = number(command, "fencing_token");
        if (token < fence) {
            return true;
        }
        fence = token;
        return false;
    }

    private void extendLease(Map<String, Object> command) {
        long deadline = Math.min(number(command, "deadline_ms"), clockMillis() + HOLD_MAX_MILLIS);
        leaseMillis = Math.max(leaseMillis, deadline);
    }

    private void start(HttpExchange exchange, Map<String, Object> command) throws IOException {
        String reason = "";
        synchronized (this) {
            String task = String.valueOf(command.get("task"));
            long number = number(command, "run_id");
            Run present = running.get(task);
            if (isFenced(command)) {
                reason = "fence";
            } else if (present != null && present.run == number) {
                extendLease(command);
            } else if (present != null && present.run > number || endedRuns.getOrDefault(task, 0L) >= number) {
                reason = "old";
                extendLease(command);
            } else if (number(command, "deadline_ms") <= clockMillis()) {
                reason = "late";
            } else {
                extendLease(command);
                Run run = new Run(task, number, String.valueOf(command.get("task_spec")), clockMillis());
                run.fails = failing;
                running.put(task, run);
                event(run, "started");
            }
        }
        if (reason.isEmpty()) {
            respond(exchange, 200, Map.of("clock_ms", clockMillis()));
        } else {
            respond(exchange, 409, Map.of("clock_ms", clockMillis(), "reason", reason));
        }
    }

    private void stop(HttpExchange exchange, Map<String, Object> command) throws IOException {
        boolean fenced;
        synchronized (this) {
            fenced = isFenced(command);
            String task = String.valueOf(command.get("task"));
            long number = number(command, "run_id");
            if (!fenced) {
                Run present = running.get(task);
                if (present != null && present.run == number) {
                    end(present, "stopped");
                }
                endedRuns.merge(task, number, Math::max);
            }
        }
        if (fenced) {
            respond(exchange, 409, Map.of("clock_ms", clockMillis(), "reason", "fence"));
        } else {
            respond(exchange, 200, Map.of("clock_ms", clockMillis()));
        }
    }

    private void pace(HttpExchange exchange, Map<String, Object> command) throws IOException {
        boolean fenced;
        synchronized (this) {
            fenced = isFenced(command);
            Run present = running.get(String.valueOf(command.get("task")));
            if (!fenced && present != null && present.run == number(command, "run_id")) {
                present.update(clockMillis());
                present.percent = number(command, "percent");
                record.line(id + " " + present.task + " run " + present.run + " paced to " + present.percent);
            }
        }
        if (fenced) {
            respond(exchange, 409, Map.of("clock_ms", clockMillis(), "reason", "fence"));
        } else {
            respond(exchange, 200, Map.of("clock_ms", clockMillis()));
        }
    }

    /** The fifth entry of a row: the tail of a task that serves, the processor time in use of any other. */
    private long load(Run run) {
        if (!run.serves) {
            return run.millicores * run.percent / 100;
        }
        double filling = running.values().stream()
                .filter(other -> other.fills)
                .mapToDouble(other -> other.millicores * other.percent / 100_000.0)
                .sum();
        return SERVING_TAIL_MILLIS + (long) (filling * tailMillisPerFillingCore);
    }

    private void hold(HttpExchange exchange, Map<String, Object> command) throws IOException {
        Map<String, Object> response = new LinkedHashMap<>();
        boolean fenced;
        synchronized (this) {
            fenced = isFenced(command);
            if (!fenced) {
                long seen = number(command, "last_seen");
                finished.removeIf(row -> ((Number) ((List<?>) row).getFirst()).longValue() <= seen);
                extendLease(command);
                long until = clockMillis() + Math.min(2_000, number(command, "wait_ms"));
                while (alive && finished.isEmpty() && clockMillis() < until) {
                    try {
                        wait(Math.max(1, until - clockMillis()));
                    } catch (InterruptedException e) {
                        exchange.close();
                        return;
                    }
                }
                List<Object> rows = new ArrayList<>();
                long now = clockMillis();
                running.values().forEach(run -> rows.add(List.of(run.task, run.run, "", run.progress(), load(run))));
                response.put("clock_ms", now);
                response.put("running", rows);
                response.put("finished", List.copyOf(finished.subList(0, Math.min(500, finished.size()))));
            }
        }
        if (fenced) {
            respond(exchange, 409, Map.of("clock_ms", clockMillis(), "reason", "fence"));
        } else if (alive) {
            respond(exchange, 200, response);
        } else {
            exchange.close();
        }
    }

    private static void respond(HttpExchange exchange, int status, Map<String, Object> body) throws IOException {
        byte[] bytes = Json.write(body).getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private static long number(Map<String, Object> command, String name) {
        return command.get(name) instanceof Number number ? number.longValue() : 0;
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
