import java.util.ArrayList;
import java.util.List;

/**
 * Of 20 jobs with tasks that last, one has three that fail again and again, soon after each start. Another job needs the same
 * label, which one sound minion has, with room for all of them many times over.
 */
final class StarvedByAFailingTask {
    private static final String QUEUE = "/lohu930/";
    private static final int MINIONS = 8;
    private static final int OTHER_JOBS = 18;
    private static final long FINISH_MILLIS = 14_000;
    private static final long NOTHING_RUNS_MILLIS = 3_000;

    private StarvedByAFailingTask() {}

    public static void main(String[] arguments) {
        Site.run(arguments, 3, 2, StarvedByAFailingTask::holds);
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
        List<String> others = new ArrayList<>();
        for (int index = 0; index < OTHER_JOBS; index++) {
            String id = Site.jobId();
            others.add(id);
            Site.require(
                    site.submit(
                                    QUEUE,
                                    id,
                                    "last",
                                    List.of(Site.step(1, 2_000, 2_000, 60_000, "long_running", true, "required_label", "a")))
                            == 200,
                    "a job was not accepted");
        }
        String failing = Site.jobId();
        Site.require(
                site.submit(
                                QUEUE,
                                failing,
                                trouble ? "fail 200" : "last",
                                List.of(Site.step(3, 500, 1_000, 60_000, "long_running", true, "required_label", "b")))
                        == 200,
                "the failing job was not accepted");
        Thread.sleep(8_000);
        String sound = Site.jobId();
        Site.require(
                site.submit(
                                QUEUE,
                                sound,
                                "last",
                                List.of(Site.step(1, 4_000, 1_000, 60_000, "long_running", true, "required_label", "b")))
                        == 200,
                "the sound job was not accepted");
        // The end of the traffic; jobs are judged from here on.
        Thread.sleep(FINISH_MILLIS);
        long nothingSince = site.record.nowMillis();
        boolean holds = true;
        long until = site.record.nowMillis() + 10_000;
        while (site.record.nowMillis() < until) {
            if (special.runs(sound)) {
                nothingSince = site.record.nowMillis();
            }
            holds &= site.record.nowMillis() - nothingSince < NOTHING_RUNS_MILLIS;
            Thread.sleep(20);
        }
        site.show(QUEUE, sound);
        site.record.line("the sound task began " + site.begins(sound) + " times; the failing ones began "
                + site.begins(failing) + " times; the minion with the label is up: " + special.isUp() + " and runs "
                + special.count() + " tasks");
        for (String other : others) {
            Site.require(site.begins(other) > 0, "another job has not begun");
        }
        return holds;
    }
}
