import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Large jobs come at once, and their clients cancel them. See the claim beside run.sh. */
final class ManyLargeJobsCancelled {
    private static final int TASKS = 5_000;

    /** What clients send in a second: the sheet's 6.5 jobs a second, in a burst of 2.6 times. */
    private static final int JOBS_PER_SECOND = 17;

    /** How many of them are large, and are cancelled: a share of 0.35. */
    private static final int CANCELLED_PER_SECOND = 6;

    private static final int SECONDS_OF_A_WAVE = 6;

    private static final int WAVES = 8;

    /** The rule asks for jobs this long after the end of the traffic. */
    private static final long FINISH_MILLIS = 14_000;

    private static final String PREFIX = "/bundles/";

    private static final String KEPT = "5c0e7a21d94b36f8";

    private static final String LARGE = job(TASKS, 8_000, 2_000);

    private static final String SMALL = job(6, 1_000, 500);

    private ManyLargeJobsCancelled() {}

    public static void main(String[] arguments) throws Exception {
        Path repository = Path.of(arguments[0]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("review-site");
        int result = 2;
        try (Site site = new Site(repository, folder, Path.of(arguments[1]), 3, 2)) {
            result = play(site, trouble);
            site.record("result " + result);
        } catch (Exception failure) {
            failure.printStackTrace();
            result = 2;
        } finally {
            if (System.getenv("KEEP") == null) {
                Site.delete(folder);
            }
        }
        System.exit(result);
    }

    private static int play(Site site, boolean trouble) throws Exception {
        site.startAll();
        List<Minion> minions = new ArrayList<>();
        for (int number = 1; number <= 3; number++) {
            minions.add(new Minion(
                    site, "i-000" + number, "127.0.3." + number, Site.freePort(), "portfolio-svc"));
        }
        if (!site.configure(Site.configuration(1, PREFIX, "portfolio-svc", 3))) {
            return 2;
        }
        Site.sleep(4_000);
        if (!site.submit(2, PREFIX + KEPT, job(2, 1_000, 10_000))) {
            return 2;
        }
        int accepted = 0;
        int cancelled = 0;
        int number = 0;
        for (int wave = 0; wave < WAVES && site.ownEnds().size() < 3; wave++) {
            for (int second = 0; second < SECONDS_OF_A_WAVE; second++) {
                long next = site.millis() + 1_000;
                for (int job = 0; job < JOBS_PER_SECOND && site.millis() < next; job++) {
                    number++;
                    boolean large = job < CANCELLED_PER_SECOND;
                    String path = PREFIX + String.format("%016x", 0x1000 + number);
                    int entry = 1 + number % 2;
                    boolean taken = site.client(entry, "POST", path, large ? LARGE : SMALL, 3_000).status() == 200;
                    accepted += taken && large ? 1 : 0;
                    if (taken && large && trouble) {
                        cancelled += site.client(entry, "DELETE", path, "", 3_000).status() == 200 ? 1 : 0;
                    }
                }
                Site.sleep(Math.max(0, next - site.millis()));
            }
            Site.sleep(1_000);
        }
        Site.sleep(FINISH_MILLIS);
        Http.Response state = new Http.Response(0, "");
        long end = site.millis() + 10_000;
        while (state.status() != 200 && site.millis() < end) {
            state = site.client(1, "GET", PREFIX + KEPT, "", 3_000);
            Site.sleep(500);
        }
        site.record(accepted + " large jobs accepted, " + cancelled + " cancelled; ended by themselves: "
                + site.ownEnds());
        if (state.status() != 200) {
            site.record("LOST: the accepted job " + KEPT + " is answered with " + state.status()
                    + ", for 10 s from finish_s after the end of the traffic");
        }
        return state.status() == 200 && site.ownEnds().isEmpty() ? 0 : 1;
    }

    private static String job(int count, int cpu, int workMillis) {
        Map<String, Object> step = Map.of("count", count, "cpu", cpu, "mem_mb", 1_024, "est_runtime_ms", workMillis);
        return Json.write(Map.of("task_spec", "work " + workMillis, "steps", List.of(step)));
    }
}
