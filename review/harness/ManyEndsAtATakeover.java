import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Three jobs of many small tasks; the leader is killed while they end. See review/1/claim.txt. */
final class ManyEndsAtATakeover {
    /** The tasks of each job. */
    private static final int TASKS = 600;

    /** How long the tasks of each job work; a job follows the one before after the difference, so that all end together. */
    private static final long[] WORK_MILLIS = {8_000, 6_000, 4_000};

    private static final String JOB = "5c0e7a21d94b36f";

    private ManyEndsAtATakeover() {}

    public static void main(String[] arguments) throws Exception {
        Path repository = Path.of(arguments[0]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("review-site");
        int result = 2;
        try (Site site = new Site(repository, folder, Path.of(arguments[1]), 3, 1)) {
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
        for (int number = 1; number <= 2; number++) {
            minions.add(new Minion(
                    site, "i-000" + number, "127.0.3." + number, Site.freePort(), "portfolio-svc"));
        }
        if (!site.configure(Site.configuration(1, "/bundles/", "portfolio-svc", 3))) {
            return 2;
        }
        Site.sleep(4_000);
        for (int number = 0; number < WORK_MILLIS.length; number++) {
            long work = WORK_MILLIS[number];
            Map<String, Object> step = Map.of("count", TASKS, "cpu", 15, "mem_mb", 60, "est_runtime_ms", work);
            String body = Json.write(Map.of("task_spec", "work " + work, "steps", List.of(step)));
            long next = site.millis() + work - (number + 1 < WORK_MILLIS.length ? WORK_MILLIS[number + 1] : work);
            if (!site.submit(1, "/bundles/" + JOB + number, body)) {
                return 2;
            }
            Site.sleep(Math.max(0, next - site.millis()));
        }
        long end = site.millis() + 60_000;
        while (countOf(site, "end") == 0 && site.millis() < end) {
            Site.sleep(5);
        }
        if (trouble) {
            String leader = site.leader();
            site.signal(leader, "KILL");
            Site.sleep(3_500);
            site.start(leader);
        }
        String states = "";
        for (int number = 0; number < WORK_MILLIS.length; number++) {
            String state = "";
            while (site.millis() < end && !state.contains("completed") && !state.contains("failed")) {
                state = site.client(1, "GET", "/bundles/" + JOB + number, "", 3_000).body();
                Site.sleep(500);
            }
            states += state;
        }
        Site.sleep(3_000);
        return judge(site, states);
    }

    private static long countOf(Site site, String kind) {
        return site.events().stream().filter(event -> event.kind().equals(kind)).count();
    }

    /** TWICE: a start after a run has ended done, if that end is taken note of then or later and no lease lapsed between. */
    private static int judge(Site site, String state) {
        Map<String, Site.Event> doneEnds = new HashMap<>();
        Set<String> noted = new HashSet<>();
        Set<String> lapsedMinions = new HashSet<>();
        for (Site.Event event : site.events()) {
            if (event.kind().equals("seen") && event.detail().equals("done")) {
                noted.add(event.minion() + " " + event.task() + " " + event.run());
            }
            if (event.kind().equals("end") && event.detail().equals("lapsed")) {
                lapsedMinions.add(event.minion());
            }
        }
        int twice = 0;
        for (Site.Event event : site.events()) {
            if (event.kind().equals("end") && event.detail().equals("done")) {
                doneEnds.putIfAbsent(event.task(), event);
            }
            Site.Event done = event.kind().equals("start") ? doneEnds.get(event.task()) : null;
            if (done != null
                    && !lapsedMinions.contains(done.minion())
                    && noted.contains(done.minion() + " " + done.task() + " " + done.run())) {
                twice++;
                site.record("TWICE: " + event.task() + " run " + event.run() + " starts on " + event.minion()
                        + " although run " + done.run() + " had ended done on " + done.minion() + " "
                        + (event.millis() - done.millis()) + " ms before");
            }
        }
        site.record(twice + " tasks started after they were done; leases lapsed on " + lapsedMinions + "; the jobs are "
                + state);
        if (countOf(site, "start") < TASKS * WORK_MILLIS.length) {
            return 2;
        }
        return twice > 0 ? 1 : 0;
    }
}
