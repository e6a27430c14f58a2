import java.util.ArrayList;
import java.util.List;

/**
 * A minion is lost for good while nothing runs on it, and jobs come in. They cannot begin, as the others are full; the number of
 * jobs that have not begun is asked for 5 s after the last was accepted, and later.
 */
final class PendingAfterALoss {
    private static final int MINIONS = 8;
    private static final int JOBS = 6;
    private static final String LONG_QUEUE = "/lohu930/";
    private static final String QUEUE = "/pufi791/";
    /** visible_ms and the 2 s of the rule. */
    private static final long COUNTED_AFTER_MILLIS = 3_000 + 2_000;

    private PendingAfterALoss() {}

    public static void main(String[] arguments) {
        Site.run(arguments, 3, 2, PendingAfterALoss::holds);
    }

    private static boolean holds(Site site, boolean trouble) throws Exception {
        Site.require(
                site.configure(7, List.of(Site.route("r-1", LONG_QUEUE, 2, 3), Site.route("r-2", QUEUE, 2, 3))),
                "the configuration was not acknowledged");
        Site.require(site.awaitReady(20_000), "the entries are not ready");
        for (int index = 0; index < MINIONS; index++) {
            site.addMinion("a", "r" + index / 4);
        }
        Thread.sleep(4_000);
        // A task of 30 of the 32 cores on each minion but one.
        String longJob = Site.jobId();
        Site.require(
                site.submit(
                                LONG_QUEUE,
                                longJob,
                                "work 40000",
                                List.of(Site.step(MINIONS - 1, 30_000, 64_000, 40_000, "max_per_server", 1)))
                        == 200,
                "the long job was not accepted");
        Thread.sleep(3_000);
        List<Minion> idle = site.minions.stream().filter(minion -> minion.count() == 0).toList();
        Site.require(idle.size() == 1, "there is not one idle minion but " + idle.size());
        if (trouble) {
            idle.getFirst().goDark();
        }
        Thread.sleep(300);
        List<String> accepted = new ArrayList<>();
        for (int index = 0; index < JOBS; index++) {
            Thread.sleep(100);
            String id = Site.jobId();
            // 4 cores: no minion with a task of the long job has as many left.
            if (site.submit(QUEUE, id, "work 2000", List.of(Site.step(1, 4_000, 2_000, 2_000))) == 200) {
                accepted.add(id);
            }
        }
        Site.require(accepted.size() == JOBS, "only " + accepted.size() + " jobs were accepted");
        Thread.sleep(COUNTED_AFTER_MILLIS + 500);
        boolean holds = true;
        for (int look = 0; look < 5; look++) {
            long notBegunBefore = notBegun(site, accepted);
            Web.Response response = site.show(QUEUE, "");
            long notBegunAfter = notBegun(site, accepted);
            long least = Math.min(notBegunBefore, notBegunAfter);
            long pending = Json.number(Json.object(response.body()), "pending");
            site.record.line("pending is " + pending + ", of the jobs accepted over " + COUNTED_AFTER_MILLIS + " ms ago "
                    + least + " have not begun");
            holds &= 2 * pending >= least;
            Thread.sleep(1_000);
        }
        return holds;
    }

    private static long notBegun(Site site, List<String> jobs) {
        return jobs.stream().filter(job -> site.begins(job) == 0).count();
    }
}
