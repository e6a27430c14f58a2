import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A job of six tasks that last and fill, each asking for 5 cores, runs on the one minion of eight that nothing else uses; the others
 * have 4 cores and most of their memory left. That minion is lost for good. The rule: no task that lasts has nothing running for 3 s on
 * end, from 6 s after its last run.
 */
public final class FillingTasksAfterALoss {
    private static final int MINIONS = 8;
    private static final int TASKS = 6;
    private static final int SERVING_TASKS = 4 * (MINIONS - 1);
    private static final String SERVING = "00000000000000d1";
    private static final String FILLING = "00000000000000d2";

    private FillingTasksAfterALoss() {}

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
        List<Minion.Event> events = new CopyOnWriteArrayList<>();
        List<Minion> minions = new ArrayList<>();
        try (Site site = new Site(record, 3, 2)) {
            int port = Site.freePorts(1)[0];
            for (int n = 1; n <= MINIONS; n++) {
                minions.add(new Minion(
                        "i-" + n, "127.0.3." + n + ":" + port, Site.POOL, "zone-1", "r1-" + (n % 2), site.controls(), record,
                        events::add));
            }
            if (!site.awaitReady(2, 40_000)) {
                return 2;
            }
            String serving = "{\"task_spec\":\"lasts 7000\",\"steps\":[{\"count\":" + SERVING_TASKS
                    + ",\"cpu\":7000,\"mem_mb\":13000,\"est_runtime_ms\":320,\"long_running\":true,\"max_per_server\":4,"
                    + "\"image\":\"service-1\",\"may_miss\":1}]}";
            String filling = "{\"task_spec\":\"fills 5000\",\"steps\":[{\"count\":" + TASKS
                    + ",\"cpu\":5000,\"mem_mb\":6400,\"est_runtime_ms\":320,\"long_running\":true,\"fills\":true,"
                    + "\"image\":\"batch-1\"}]}";
            if (!start(record, site, minions, SERVING, serving, SERVING_TASKS)) {
                return 2;
            }
            Minion.pause(5_000);
            if (!start(record, site, minions, FILLING, filling, TASKS)) {
                return 2;
            }
            Minion.pause(5_000);
            List<Minion> used = minions.stream()
                    .filter(minion -> running(List.of(minion), FILLING) > 0)
                    .toList();
            if (used.size() != 1 || running(used, SERVING) > 0) {
                record.say("the tasks that fill do not share one minion");
                return 2;
            }
            if (trouble) {
                used.getFirst().crash();
                minions.removeAll(used);
            }
            Minion.pause(20_000);
            return judge(record, site, minions);
        }
    }

    private static boolean start(
            Record record, Site site, List<Minion> minions, String id, String job, int tasks) {
        long end = record.millis() + 15_000;
        boolean accepted = false;
        while (record.millis() < end) {
            if (!accepted) {
                accepted = call(record, site.entry(1), "POST", id, job).status() / 100 == 2;
            } else if (running(minions, id) == tasks) {
                return true;
            }
            Minion.pause(200);
        }
        record.say("not all tasks of " + id + " started");
        return false;
    }

    private static long running(List<Minion> minions, String id) {
        return minions.stream().mapToLong(minion -> minion.runningOf(id).size()).sum();
    }

    private static Http.Response call(Record record, String entry, String method, String id, String body) {
        Http.Response response = Http.call(entry, method, Site.PREFIX + id, Site.HOST, body, 3_000);
        record.line(method + " " + id + " at " + entry + " -> " + response.status() + " " + response.body());
        return response;
    }

    /** Looks for 12 s, from 20 s after the loss on, which tasks run, ten times a second. */
    private static int judge(Record record, Site site, List<Minion> minions) {
        long[] idleMillis = new long[TASKS];
        long[] longestIdleMillis = new long[TASKS];
        long previous = record.millis();
        long end = previous + 12_000;
        while (record.millis() < end) {
            Minion.pause(100);
            long now = record.millis();
            for (int index = 0; index < TASKS; index++) {
                String task = FILLING + ".0.0." + index;
                boolean runs = minions.stream().anyMatch(minion -> minion.isRunning(task));
                idleMillis[index] = runs ? 0 : idleMillis[index] + now - previous;
                longestIdleMillis[index] = Math.max(longestIdleMillis[index], idleMillis[index]);
            }
            previous = now;
        }
        call(record, site.entry(1), "GET", FILLING, "");
        minions.forEach(minion -> record.line(minion.id + " runs " + minion.runningOf(SERVING) + " "
                + minion.runningOf(FILLING)));
        int idle = 0;
        for (int index = 0; index < TASKS; index++) {
            record.line("task " + index + " had nothing running for " + longestIdleMillis[index] + " ms on end");
            idle += longestIdleMillis[index] >= 3_000 ? 1 : 0;
        }
        record.say(idle + " of " + TASKS + " tasks that last had nothing running for 3 s on end, from 20 s after the loss on; "
                + running(minions, SERVING) + " other tasks run");
        return idle > 0 ? 1 : 0;
    }
}
