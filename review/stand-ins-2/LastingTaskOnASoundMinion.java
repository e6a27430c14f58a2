import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A service of tasks that last fills the memory of its minions. One minion of twelve fails all that it starts for 6.4 s while they start,
 * is sound from then on and runs its share. Later one task there fails by itself, as such tasks may. The rule: from 6 s after its last
 * run, a task that lasts has not nothing running for 3 s on end.
 */
public final class LastingTaskOnASoundMinion {
    private static final int MINIONS = 12;
    private static final int TASKS = 70;
    private static final long FAILING_MILLIS = 6_400;
    private static final String JOB = "00000000000000e1";

    private LastingTaskOnASoundMinion() {}

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
            Minion.pause(3_000);
            Minion minion = minions.get(4);
            if (trouble) {
                minion.setFailing(true);
            }
            long startMillis = record.millis();
            String job = "{\"task_spec\":\"lasts 3000\",\"steps\":[{\"count\":" + TASKS
                    + ",\"cpu\":3000,\"mem_mb\":20000,\"est_runtime_ms\":320,\"long_running\":true}]}";
            Http.Response response = Http.call(site.entry(1), "POST", Site.PREFIX + JOB, Site.HOST, job, 3_000);
            record.line("POST " + JOB + " -> " + response.status());
            Minion.pause(startMillis + FAILING_MILLIS - record.millis());
            if (trouble) {
                minion.setFailing(false);
            }
            long end = record.millis() + 30_000;
            while (running(minions) < TASKS && record.millis() < end) {
                Minion.pause(100);
            }
            if (running(minions) < TASKS || minion.runningOf(JOB).isEmpty()) {
                record.say("not all tasks run");
                return 2;
            }
            Minion.pause(10_000);
            String task = minion.runningOf(JOB).getFirst();
            record.line(minion.id + " runs " + minion.runningOf(JOB));
            minion.fail(task);
            long failedMillis = record.millis();
            Minion.pause(100);
            long ranAgainMillis = -1;
            while (ranAgainMillis < 0 && record.millis() < failedMillis + 25_000) {
                if (minions.stream().anyMatch(each -> each.isRunning(task))) {
                    ranAgainMillis = record.millis() - failedMillis;
                }
                Minion.pause(50);
            }
            record.say("the task that failed by itself ran again after "
                    + (ranAgainMillis < 0 ? "more than 25000" : ranAgainMillis) + " ms; " + minion.id + " ran "
                    + minion.runningOf(JOB).size() + " other tasks and had room for "
                    + (6 - minion.runningOf(JOB).size()) + " more");
            return ranAgainMillis < 0 || ranAgainMillis >= 9_000 ? 1 : 0;
        }
    }

    private static long running(List<Minion> minions) {
        return minions.stream().mapToLong(minion -> minion.runningOf(JOB).size()).sum();
    }
}
