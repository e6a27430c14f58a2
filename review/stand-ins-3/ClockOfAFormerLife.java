import java.util.ArrayList;
import java.util.List;

/**
 * An idle minion is cut off in one direction, so that its heartbeats arrive. Meanwhile the leader is killed, and the minion starts
 * again under its id. The cut heals and tasks begin. Later the minion is cut off in both directions for 8 s.
 */
final class ClockOfAFormerLife {
    private static final String QUEUE = "/lohu930/";
    private static final int MINIONS = 9;
    /** The longest cut of minions that a site of the kit names. */
    private static final long CUT_MILLIS = 8_000;
    /** More than half of the cores of a minion, so that each has one task. */
    private static final long TASK_CPU = 17_000;

    private ClockOfAFormerLife() {}

    public static void main(String[] arguments) {
        Site.run(arguments, 3, 2, ClockOfAFormerLife::holds);
    }

    private static boolean holds(Site site, boolean trouble) throws Exception {
        Site.require(
                site.configure(7, List.of(Site.route("r-1", QUEUE, 0, 3))), "the configuration was not acknowledged");
        Site.require(site.awaitReady(20_000), "the entries are not ready");
        for (int index = 0; index < MINIONS; index++) {
            site.addMinion("a", "r" + index / 3);
        }
        Thread.sleep(15_000);
        Minion minion = site.minions.getLast();
        if (trouble) {
            minion.cut(true, false);
            Thread.sleep(500);
            Site.Program leader = site.leader();
            leader.signal("KILL");
            Thread.sleep(3_500);
            leader.start(false);
            Thread.sleep(200);
            minion.crash();
            Thread.sleep(300);
            minion = site.addMinionAt(minion.id, minion.ip(), minion.kind, minion.rack);
            minion.cut(true, false);
            Thread.sleep(600);
            minion.cut(false, false);
        }
        Thread.sleep(5_000);
        List<String> jobs = new ArrayList<>();
        String ofMinion = "";
        for (int index = 0; index < MINIONS; index++) {
            String job = Site.jobId();
            jobs.add(job);
            Site.require(
                    site.submit(QUEUE, job, "work 25000", List.of(Site.step(1, TASK_CPU, 4_000, 25_000))) == 200,
                    "a job was not accepted");
        }
        Thread.sleep(2_000);
        for (String job : jobs) {
            if (minion.runOf(job) > 0) {
                ofMinion = job;
            }
        }
        Site.require(!ofMinion.isEmpty(), "no task runs on the minion");
        for (String job : jobs) {
            if (!job.equals(ofMinion)) {
                int status =
                        site.web.delete(site.entries.getFirst().address(), Site.HOST, QUEUE + job, 3_000).status();
                site.record.line("DELETE " + QUEUE + job + " -> " + status);
            }
        }
        Thread.sleep(2_000);
        minion.cut(true, true);
        boolean holds = true;
        long until = site.record.nowMillis() + CUT_MILLIS;
        while (site.record.nowMillis() < until) {
            long here = minion.runOf(ofMinion);
            for (Minion other : site.minions) {
                long there = other == minion || !other.isUp() ? 0 : other.runOf(ofMinion);
                if (here > 0 && there > 0 && minion.runOf(ofMinion) > 0 && holds) {
                    site.record.line("two runs of one task of " + ofMinion + " at the same time: run " + here + " on "
                            + minion.id + ", run " + there + " on " + other.id);
                    holds = false;
                }
            }
            Thread.sleep(10);
        }
        minion.cut(false, false);
        Thread.sleep(3_000);
        return holds;
    }
}
