import java.util.List;

/**
 * The one minion with a label goes down and up by turns for a while, then stays up. Tasks that last were at work there. None of
 * them ever ends as failed. The state of their job is asked for.
 */
final class FailedByCrashes {
    private static final String QUEUE = "/lohu930/";
    private static final int MINIONS = 10;
    private static final int TASKS = 6;
    /** The largest dose on the site: a period of 1.4 s, for 6.5 s, a share of 0.1. */
    private static final long PERIOD_MILLIS = 1_400;
    private static final long FLAPPING_MILLIS = 6_500;

    private FailedByCrashes() {}

    public static void main(String[] arguments) {
        Site.run(arguments, 3, 2, FailedByCrashes::holds);
    }

    private static boolean holds(Site site, boolean trouble) throws Exception {
        Site.require(
                site.configure(7, List.of(Site.route("r-1", QUEUE, 0, 3))), "the configuration was not acknowledged");
        Site.require(site.awaitReady(20_000), "the entries are not ready");
        for (int index = 0; index < MINIONS - 1; index++) {
            site.addMinion("a", "r" + index / 5);
        }
        Minion special = site.addMinion("b", "r1");
        Thread.sleep(4_000);
        String job = Site.jobId();
        Site.require(
                site.submit(
                                QUEUE,
                                job,
                                "last",
                                List.of(Site.step(
                                        TASKS, 2_000, 1_000, 60_000, "long_running", true, "required_label", "b")))
                        == 200,
                "the job was not accepted");
        Thread.sleep(4_000);
        Site.require(special.count() == TASKS, "only " + special.count() + " tasks are at work");
        long until = site.record.nowMillis() + FLAPPING_MILLIS;
        while (trouble && site.record.nowMillis() < until) {
            special.crash();
            Thread.sleep(PERIOD_MILLIS / 2);
            special = site.addMinionAt(special.ip(), special.kind, special.rack);
            Thread.sleep(PERIOD_MILLIS / 2);
        }
        site.record.line("the minion stays up from now on");
        boolean holds = true;
        for (int look = 0; look < 10; look++) {
            Thread.sleep(2_000);
            Web.Response response = site.show(QUEUE, job);
            holds &= response.status() == 200 && !response.body().contains("failed");
        }
        site.record.line("tasks of the job that ended as failed: " + site.ends(job, "failed") + "; the minion is up: "
                + special.isUp() + " and runs " + special.count());
        Site.require(site.ends(job, "failed") == 0, "a task ended as failed");
        return holds;
    }
}
