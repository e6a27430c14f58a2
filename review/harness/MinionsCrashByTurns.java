import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;

/** Minions crash at random and come back; tasks never fail. See the claim beside run.sh. */
final class MinionsCrashByTurns {
    private static final int MINIONS = 8;

    private static final long WORK_MILLIS = 800;

    private static final long JOB_GAP_MILLIS = 250;

    /** One of eight minions at a time: a share of 0.125. */
    private static final long CRASH_GAP_MILLIS = 1_500;

    private static final long DOWN_MILLIS = 4_500;

    private static final long TRAFFIC_MILLIS = 75_000;

    private static final long FINISH_MILLIS = 14_000;

    private static final String PREFIX = "/previews/";

    private MinionsCrashByTurns() {}

    /** A minion and where it comes back: the orders to it pass a link. */
    private static final class Place {
        final int number;
        final Proxy orders;
        Minion minion;
        int lives;

        Place(int number) throws Exception {
            this.number = number;
            orders = new Proxy("127.0.4." + number, "127.0.3." + number + ":1");
        }

        void start(Site site) throws Exception {
            lives++;
            int port = Site.freePort();
            String ip = "127.0.3." + number;
            orders.target(ip + ":" + port);
            dark(false);
            minion = new Minion(
                    site, "i-" + number + "-" + lives, ip, port, orders.address, site.controlAddresses(), "portfolio-svc");
        }

        /** A machine without power is silent: what is sent to it is lost, and connections to it hang. */
        void dark(boolean dark) {
            orders.cutTowardsTarget(dark);
            orders.cutTowardsCaller(dark);
        }
    }

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
        List<Place> places = new ArrayList<>();
        for (int number = 1; number <= MINIONS; number++) {
            Place place = new Place(number);
            place.start(site);
            places.add(place);
        }
        if (!site.configure(Site.configuration(1, PREFIX, "portfolio-svc", 2))) {
            return 2;
        }
        Site.sleep(4_000);
        long end = site.millis() + TRAFFIC_MILLIS;
        if (trouble) {
            Thread.ofVirtual().start(() -> crash(site, places, end - 8_000));
        }
        Map<String, Object> step = Map.of("count", 6, "cpu", 2_300, "mem_mb", 4_600, "est_runtime_ms", WORK_MILLIS);
        String body = Json.write(Map.of("task_spec", "work " + WORK_MILLIS, "steps", List.of(step)));
        Set<String> accepted = new LinkedHashSet<>();
        for (int number = 0; site.millis() < end; number++) {
            long next = site.millis() + JOB_GAP_MILLIS;
            String id = String.format("5c0e7a21d94b%04x", number);
            if (site.client(1 + number % 2, "POST", PREFIX + id, body, 3_000).status() == 200) {
                accepted.add(id);
            }
            Site.sleep(Math.max(0, next - site.millis()));
        }
        Site.sleep(FINISH_MILLIS);
        int lost = 0;
        int completed = 0;
        for (String id : accepted) {
            String state = site.client(1, "GET", PREFIX + id, "", 3_000).body();
            completed += state.contains("completed") ? 1 : 0;
            List<Site.Event> events = site.events().stream()
                    .filter(event -> event.task().startsWith(id))
                    .toList();
            boolean failedByItself = events.stream()
                    .anyMatch(event -> event.kind().equals("end") && event.detail().equals("failed"));
            if (state.contains("failed") && !failedByItself && mostCrashesUnderATask(events) < 2) {
                lost++;
                site.record("LOST: job " + id + " is shown as failed; no run of it has ended failed, and at most "
                        + mostCrashesUnderATask(events) + " minion has crashed under any of its tasks");
                events.forEach(event -> site.record("  at " + event.millis() + " " + event.kind() + " " + event.task()
                        + " run " + event.run() + " on " + event.minion() + " " + event.detail()));
            } else if (state.contains("failed")) {
                site.record("job " + id + " is shown as failed; two minions have crashed under one of its tasks");
            }
        }
        site.record(accepted.size() + " jobs accepted, " + completed + " completed, " + lost
                + " shown as failed without cause");
        return lost > 0 ? 1 : 0;
    }

    /** Returns under which number of minions that crashed one task was running at most. */
    private static long mostCrashesUnderATask(List<Site.Event> events) {
        return events.stream()
                .filter(event -> event.kind().equals("gone"))
                .collect(Collectors.groupingBy(Site.Event::task, Collectors.counting()))
                .values()
                .stream()
                .max(Long::compare)
                .orElse(0L);
    }

    /** Crashes one minion after the other, drawn by lot; each comes back later, empty, as another instance. */
    private static void crash(Site site, List<Place> places, long end) {
        Random random = new Random();
        while (site.millis() < end) {
            Place place = places.get(random.nextInt(places.size()));
            if (place.minion.isUp()) {
                site.record("minion " + place.minion.id + " crashes");
                place.dark(true);
                place.minion.crash();
                Thread.ofVirtual().start(() -> {
                    Site.sleep(DOWN_MILLIS);
                    try {
                        place.start(site);
                        site.record("minion " + place.minion.id + " has started");
                    } catch (Exception failure) {
                        site.record("a minion could not start: " + failure);
                    }
                });
            }
            Site.sleep(CRASH_GAP_MILLIS);
        }
    }
}
