import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A client hands a job in at an entry that stands still, leaves without an answer and cancels the job at another entry, which
 * acknowledges that. Then the entry wakes. The rule: no task of the job starts later than cancel_ms after the acknowledgement.
 */
public final class CancelBesideAFrozenEntry {
    private static final int MINIONS = 8;
    private static final long CANCEL_MILLIS = 3_000;
    private static final long STANDSTILL_MILLIS = 4_800;
    private static final int PATIENCE_MILLIS = 500;
    private static final int ENTRIES = 4;
    /** Those at the entry that stands still, who leave: a quarter of all. */
    private static final int CLIENTS = 12;
    private static final int OTHER_CLIENTS = 36;

    private CancelBesideAFrozenEntry() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code;
        try (Record record = new Record(Path.of(arguments[0]))) {
            code = run(record, trouble);
            record.say(code == 0 ? "held" : code == 1 ? "BROKEN" : "could not run");
        } catch (IOException | RuntimeException e) {
            System.out.println("could not run: " + e);
            code = 2;
        }
        System.exit(code);
    }

    private static int run(Record record, boolean trouble) throws IOException, InterruptedException {
        List<Minion.Event> events = new CopyOnWriteArrayList<>();
        List<Minion> minions = new ArrayList<>();
        try (Site site = new Site(record, 3, ENTRIES)) {
            int port = Site.freePorts(1)[0];
            for (int n = 1; n <= MINIONS; n++) {
                minions.add(new Minion(
                        "i-" + n, "127.0.3." + n + ":" + port, Site.POOL, "zone-1", "r1-" + (n % 2), site.controls(), record,
                        events::add));
            }
            if (!site.awaitReady(ENTRIES, 40_000) || !awaitCompletion(record, site, "00000000000000a0")) {
                return 2;
            }
            int broken = 0;
            for (int round = 1; round <= 3; round++) {
                int result = round(record, site, events, round, trouble);
                if (result == 2) {
                    return 2;
                }
                broken |= result;
                if (!awaitCompletion(record, site, String.format("00000000000000a%d", round))) {
                    return 2;
                }
            }
            return broken;
        }
    }

    private static String job() {
        return "{\"task_spec\":\"800\",\"steps\":[{\"count\":4,\"cpu\":500,\"mem_mb\":256,\"est_runtime_ms\":800}]}";
    }

    /** Hands a job in at a sound entry and waits until it is shown as completed. */
    private static boolean awaitCompletion(Record record, Site site, String id) {
        long end = record.millis() + 15_000;
        boolean accepted = false;
        while (record.millis() < end) {
            if (!accepted) {
                accepted = call(record, site.entry(2), "POST", id, job()).status() / 100 == 2;
            } else if (call(record, site.entry(2), "GET", id, "").body().contains("completed")) {
                return true;
            }
            Minion.pause(200);
        }
        record.say("job " + id + " was not completed");
        return false;
    }

    private static Http.Response call(Record record, String entry, String method, String id, String body) {
        Http.Response response = Http.call(entry, method, Site.PREFIX + id, Site.HOST, body, 3_000);
        record.line(method + " " + id + " at " + entry + " -> " + response.status() + " " + response.body());
        return response;
    }

    /** One client's part: hands a job in at entry 1, leaves, cancels at entry 2; returns when that was acknowledged. */
    private static long client(Record record, Site site, String id) {
        record.line("POST " + id + " at " + site.entry(1));
        try (Socket socket = Http.send(site.entry(1), "POST", Site.PREFIX + id, Site.HOST, job(), PATIENCE_MILLIS)) {
            Http.Response response = Http.read(socket);
            record.line("POST " + id + " at " + site.entry(1) + " -> " + response.status());
        } catch (IOException e) {
            record.line("POST " + id + " at " + site.entry(1) + " -> no answer, the client leaves");
        }
        long end = record.millis() + 10_000;
        while (record.millis() < end) {
            int status = call(record, site.entry(2), "DELETE", id, "").status();
            if (status / 100 == 2 || status == 410) {
                return record.millis();
            }
            Minion.pause(100);
        }
        return -1;
    }

    private static int round(Record record, Site site, List<Minion.Event> events, int round, boolean trouble)
            throws IOException, InterruptedException {
        long frozenMillis = record.millis();
        if (trouble) {
            site.signal("entry-1", "STOP");
        }
        Map<String, Long> acknowledged = new ConcurrentHashMap<>();
        List<Thread> clients = new ArrayList<>();
        for (int n = 0; n < CLIENTS; n++) {
            String id = String.format("00000000000b%02d%02d", round, n);
            clients.add(Thread.ofVirtual().start(() -> acknowledged.put(id, client(record, site, id))));
        }
        for (int n = 0; n < OTHER_CLIENTS; n++) {
            String id = String.format("00000000000c%02d%02d", round, n);
            String entry = site.entry(2 + n % (ENTRIES - 1));
            clients.add(Thread.ofVirtual().start(() -> call(record, entry, "POST", id, job())));
        }
        for (Thread client : clients) {
            client.join();
        }
        if (acknowledged.containsValue(-1L)) {
            return 2;
        }
        acknowledged.keySet().forEach(id -> call(record, site.entry(2), "GET", id, ""));
        if (trouble) {
            Minion.pause(Math.max(0, STANDSTILL_MILLIS - (record.millis() - frozenMillis)));
            site.signal("entry-1", "CONT");
        }
        Minion.pause(4_000);
        int broken = 0;
        for (String id : acknowledged.keySet()) {
            call(record, site.entry(2), "GET", id, "");
            long late = events.stream()
                    .filter(event -> event.task().startsWith(id + ".") && event.what().equals("started"))
                    .filter(event -> event.millis() - acknowledged.get(id) > CANCEL_MILLIS)
                    .count();
            if (late > 0) {
                broken++;
                record.line("BROKEN: " + late + " tasks of " + id + " started more than " + CANCEL_MILLIS
                        + " ms after its cancelling was acknowledged");
            }
        }
        record.say("round " + round + ": tasks of " + broken + " of " + acknowledged.size()
                + " jobs started more than " + CANCEL_MILLIS + " ms after the cancelling was acknowledged");
        return broken > 0 ? 1 : 0;
    }
}
