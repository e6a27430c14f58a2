import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Jobs of one task that fills come beside services that are below their target, three a second for 10 s, and 2.6 times as many for 4 s of
 * these. The rule: from finish_s after the end of the traffic on, no accepted job has nothing running for 3 s while there is capacity
 * for it twice over and under half of the service's capacity is in use.
 */
public final class FillingJobsAfterABurst {
    private static final int MINIONS = 8;
    private static final String SERVING = "00000000000000f1";
    private static final long GAP_MILLIS = 333;
    private static final double BURST = 2.6;
    private static final long FINISH_MILLIS = 14_000;

    private FillingJobsAfterABurst() {}

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

    private static int run(Record record, boolean trouble) throws IOException {
        Minion.tailMillisPerFillingCore = 0.5;
        List<Minion> minions = new ArrayList<>();
        try (Site site = new Site(record, 3, 2)) {
            int port = Site.freePorts(1)[0];
            for (int n = 1; n <= MINIONS; n++) {
                minions.add(new Minion(
                        "i-" + n, "127.0.3." + n + ":" + port, Site.POOL, "zone-1", "r1-" + (n % 2), site.controls(), record,
                        event -> {}));
            }
            if (!site.awaitReady(2, 40_000)) {
                return 2;
            }
            Minion.pause(2_000);
            String serving = "{\"task_spec\":\"serves 12000\",\"steps\":[{\"count\":" + MINIONS
                    + ",\"cpu\":12000,\"mem_mb\":13000,\"est_runtime_ms\":320,\"long_running\":true,\"max_per_server\":1,"
                    + "\"image\":\"service-1\",\"target_ms\":40,\"may_miss\":1}]}";
            call(record, site.entry(1), "POST", SERVING, serving);
            long end = record.millis() + 10_000;
            while (running(minions, SERVING) < MINIONS && record.millis() < end) {
                Minion.pause(100);
            }
            if (running(minions, SERVING) < MINIONS) {
                record.say("not all services run");
                return 2;
            }
            Minion.pause(5_000);
            Set<String> accepted = handIn(record, site, trouble);
            Minion.pause(FINISH_MILLIS);
            return judge(record, site, minions, accepted);
        }
    }

    private static Set<String> handIn(Record record, Site site, boolean trouble) {
        Set<String> accepted = ConcurrentHashMap.newKeySet();
        String job = "{\"task_spec\":\"fill 6800 5000\",\"steps\":[{\"count\":1,\"cpu\":5000,\"mem_mb\":6400,"
                + "\"est_runtime_ms\":6800,\"fills\":true,\"image\":\"batch-1\"}]}";
        long startMillis = record.millis();
        for (int number = 0; record.millis() < startMillis + 10_000; number++) {
            String id = String.format("00000000000f%04d", number);
            String entry = site.entry(1 + number % 2);
            Thread.ofVirtual().start(() -> {
                if (call(record, entry, "POST", id, job).status() / 100 == 2) {
                    accepted.add(id);
                }
            });
            long elapsed = record.millis() - startMillis;
            boolean burst = trouble && elapsed >= 3_000 && elapsed < 7_000;
            Minion.pause(burst ? (long) (GAP_MILLIS / BURST) : GAP_MILLIS);
        }
        return accepted;
    }

    private static long running(List<Minion> minions, String id) {
        return minions.stream().mapToLong(minion -> minion.runningOf(id).size()).sum();
    }

    private static Http.Response call(Record record, String entry, String method, String id, String body) {
        Http.Response response = Http.call(entry, method, Site.PREFIX + id, Site.HOST, body, 3_000);
        record.line(method + " " + id + " at " + entry + " -> " + response.status() + " " + response.body());
        return response;
    }

    /** Looks for 5 s, ten times a second, which jobs have nothing running all the time. */
    private static int judge(Record record, Site site, List<Minion> minions, Set<String> accepted) {
        Set<String> idle = ConcurrentHashMap.newKeySet();
        idle.addAll(accepted);
        long end = record.millis() + 5_000;
        while (record.millis() < end) {
            idle.removeIf(id -> running(minions, id) > 0);
            Minion.pause(100);
        }
        idle.removeIf(id -> call(record, site.entry(1), "GET", id, "").body().contains("completed"));
        long used = 0;
        for (Minion minion : minions) {
            int fills = minion.allRunning().size() - minion.runningOf(SERVING).size();
            used += fills;
            record.line(minion.id + " runs " + fills + " tasks that fill, " + (13_000 + fills * 6_400)
                    + " of 128000 MB and, without those, 12 of 32 cores are in use");
        }
        record.say(idle.size() + " of " + accepted.size() + " accepted jobs had nothing running for 5 s on end, from 14 s after the end of "
                + "the traffic on; " + used + " tasks that fill run");
        return accepted.size() < 20 ? 2 : idle.isEmpty() ? 0 : 1;
    }
}
