import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;

/** A configuration that has grown by many routes is changed again and again. See the claim beside run.sh. */
final class ManyChangesOfALargeConfiguration {
    /** Three times the 400 by which the configuration grows at once; the document stays below 262,144 bytes. */
    private static final int ROUTES = 1_200;

    /** The routes of the configuration before it grows. */
    private static final int FEW_ROUTES = 8;

    /** Storms at a time, each of 4 s with a change each 0.33 s: up to eight orders may be in progress at once. */
    private static final int STORMS = 8;

    private static final long GAP_MILLIS = 330;

    private static final long STORM_MILLIS = 4_000;

    private static final long PAUSE_MILLIS = 300;

    private static final long TRAFFIC_MILLIS = 100_000;

    private static final String PREFIX = "/bundles/";

    private static final String KEPT = "5c0e7a21d94b36f8";

    private ManyChangesOfALargeConfiguration() {}

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

    /** Returns the configuration with further routes, whose timeouts change with each version. */
    @SuppressWarnings("unchecked")
    private static String configuration(long version, int routes) {
        Map<String, Object> configuration = Site.configuration(version, PREFIX, "portfolio-svc", 3);
        List<Object> all = new ArrayList<>((List<Object>) configuration.get("routes"));
        for (int number = 0; number < routes; number++) {
            Map<String, Object> route = new LinkedHashMap<>((Map<String, Object>) all.getFirst());
            route.put("name", String.format("r-%07x", number + 0x3a7c51));
            route.put("hostname", String.format("ficu%03d.example", number % 97));
            route.put("path_prefix", String.format("/pufi%04d/", number));
            route.put("timeout_ms", 3_000 + version % 100);
            all.add(route);
        }
        configuration.put("routes", all);
        return Json.write(configuration);
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
        Map<String, Object> step = Map.of("count", 2, "cpu", 1_000, "mem_mb", 1_024, "est_runtime_ms", 60_000);
        if (!site.submit(2, PREFIX + KEPT, Json.write(Map.of("task_spec", "work 60000", "steps", List.of(step))))) {
            return 2;
        }
        int routes = trouble ? ROUTES : FEW_ROUTES;
        site.record("a configuration of " + configuration(2, routes).length() + " bytes");
        AtomicLong version = new AtomicLong(1);
        AtomicInteger acknowledged = new AtomicInteger();
        long end = site.millis() + TRAFFIC_MILLIS;
        List<Thread> operators = new ArrayList<>();
        for (int operator = 0; operator < STORMS; operator++) {
            Site.sleep(GAP_MILLIS / STORMS);
            int first = operator;
            operators.add(Thread.ofVirtual().start(() -> {
                for (int change = 0; site.millis() < end; change++) {
                    long storm = site.millis() + STORM_MILLIS;
                    while (site.millis() < storm && site.millis() < end) {
                        long next = site.millis() + GAP_MILLIS;
                        change(site, first + change++, version.addAndGet(3), routes, acknowledged);
                        Site.sleep(Math.max(0, next - site.millis()));
                    }
                    Site.sleep(PAUSE_MILLIS);
                }
            }));
        }
        for (Thread operator : operators) {
            operator.join();
        }
        Site.sleep(3_000);
        List<String> ends = site.ownEnds();
        site.record(acknowledged + " changes acknowledged; ended by themselves: " + ends);
        site.client(1, "GET", PREFIX + KEPT, "", 3_000);
        Map<String, Long> counts =
                ends.stream().collect(Collectors.groupingBy(name -> name, TreeMap::new, Collectors.counting()));
        long machines = counts.values().stream().filter(count -> count >= 3).count();
        boolean fault = machines * 2 >= site.controlAddresses().size();
        if (fault) {
            site.record("Fault: on " + machines + " machines of the core a process has ended by itself three times: "
                    + counts);
        }
        return fault ? 1 : 0;
    }

    /** Sends a change once; without a clear answer the next version follows anyway. */
    private static void change(Site site, int turn, long version, int routes, AtomicInteger acknowledged) {
        String control = site.controlAddresses().get(turn % site.controlAddresses().size());
        int status = Http.call(
                        control, "POST", "/Config.Replace", "control", configuration(version, routes), 3_000)
                .status();
        acknowledged.addAndGet(status == 200 ? 1 : 0);
        site.record("operator gets " + status + " for version " + version + " at " + control);
    }
}
