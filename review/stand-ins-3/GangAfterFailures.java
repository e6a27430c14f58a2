import java.util.List;

/**
 * Of 20 jobs, one has a task that lasts and fails again and again on the one minion with a label; that job is cancelled.
 * Then the last job is accepted, a gang that needs the label, and nothing else happens.
 */
final class GangAfterFailures {
    private static final String QUEUE = "/lohu930/";
    private static final int MINIONS = 8;
    private static final int OTHER_JOBS = 18;
    private static final int MEMBERS = 2;
    private static final long FAILING_MILLIS = 14_000;
    private static final long FINISH_MILLIS = 14_000;
    private static final long NOTHING_RUNS_MILLIS = 3_000;

    private GangAfterFailures() {}

    public static void main(String[] arguments) {
        Site.run(arguments, 3, 2, GangAfterFailures::holds);
    }

    private static boolean holds(Site site, boolean trouble) throws Exception {
        Site.require(
                site.configure(7, List.of(Site.route("r-1", QUEUE, 0, 3))), "the configuration was not acknowledged");
        Site.require(site.awaitReady(20_000), "the entries are not ready");
        for (int index = 0; index < MINIONS - 1; index++) {
            site.addMinion("a", "r" + index / 4);
        }
        Minion special = site.addMinion("b", "r1");
        Thread.sleep(4_000);
        for (int index = 0; index < OTHER_JOBS; index++) {
            Site.require(
                    site.submit(
                                    QUEUE,
                                    Site.jobId(),
                                    "last",
                                    List.of(Site.step(
                                            1, 2_000, 2_000, 60_000, "long_running", true, "required_label", "a")))
                            == 200,
                    "a job was not accepted");
        }
        String failing = Site.jobId();
        Site.require(
                site.submit(
                                QUEUE,
                                failing,
                                trouble ? "fail 200" : "last",
                                List.of(Site.step(1, 500, 1_000, 60_000, "long_running", true, "required_label", "b")))
                        == 200,
                "the failing job was not accepted");
        Thread.sleep(FAILING_MILLIS);
        int cancelled = site.web.delete(site.entries.getFirst().address(), Site.HOST, QUEUE + failing, 3_000).status();
        site.record.line("DELETE " + QUEUE + failing + " -> " + cancelled);
        Site.require(cancelled == 200, "the cancel was not acknowledged");
        Thread.sleep(500);
        Site.require(special.count() == 0, "the minion with the label is not idle");
        String gang = Site.jobId();
        Site.require(
                site.submit(
                                QUEUE,
                                gang,
                                "work 1000",
                                List.of(Site.step(
                                        MEMBERS, 1_000, 1_000, 1_000, "gang_scheduled", true, "required_label", "b")))
                        == 200,
                "the gang was not accepted");
        // The end of the traffic; jobs are judged from finish_s after it.
        long until = site.record.nowMillis() + FINISH_MILLIS + NOTHING_RUNS_MILLIS;
        while (site.record.nowMillis() < until && site.begins(gang) == 0) {
            Thread.sleep(20);
        }
        boolean holds = site.begins(gang) > 0;
        site.show(QUEUE, gang);
        site.record.line("members of the gang that have begun: " + site.begins(gang) + "; the minion with the label is up: "
                + special.isUp() + " and runs " + special.count() + " tasks");
        // How long it takes in the end.
        long waitUntil = site.record.nowMillis() + 30_000;
        while (site.record.nowMillis() < waitUntil && site.begins(gang) < MEMBERS) {
            Thread.sleep(20);
        }
        site.record.line("members of the gang that have begun: " + site.begins(gang));
        return holds;
    }
}
