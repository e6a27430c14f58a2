import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Sound jobs run while an eighth of the minions crashes again and again and starts anew. No run ever ends as failed, and no task
 * has anything to do with a crash. The rule: no job is shown as failed.
 */
public final class SoundJobsBesideCrashes {
    private static final int MINIONS = 32;
    private static final int CRASHING = 4;
    private static final long DOWN_MILLIS = 4_500;
    private static final long GAP_MILLIS = 5_000;
    private static final int CRASHES = 12;
    private static final long JOB_MILLIS = 240;

    private SoundJobsBesideCrashes() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code;
        try (Record record = new Record(Path.of(arguments[0]))) {
            code = run(record, trouble);
            record.say(code == 0 ? "held" : code == 1 ? "BROKEN" : "could not run");
        }
        System.exit(code);
    }

    private static int run(Record record, boolean trouble) throws IOException, InterruptedException {
        Random random = new Random(7);
        List<Minion.Event> events = new CopyOnWriteArrayList<>();
        Minion[] minions = new Minion[MINIONS];
        int[] lives = new int[MINIONS];
        try (Site site = new Site(record, 3, 2)) {
            int port = Site.freePorts(1)[0];
            for (int n = 0; n < MINIONS; n++) {
                minions[n] = minion(site, n, ++lives[n], port, record, events);
            }
            if (!site.awaitReady(2, 40_000)) {
                return 2;
            }
            Minion.pause(2_000);
            Map<String, String> states = new ConcurrentHashMap<>();
            long startMillis = record.millis();
            long endMillis = startMillis + 2_000 + CRASHES * GAP_MILLIS;
            Thread load = Thread.ofVirtual().start(() -> handIn(record, site, random.nextLong(), endMillis, states));
            if (trouble) {
                for (int crash = 0; crash < CRASHES; crash++) {
                    Minion.pause(startMillis + 2_000 + crash * GAP_MILLIS - record.millis());
                    List<Integer> victims = random.ints(0, MINIONS).distinct().limit(CRASHING).boxed().toList();
                    victims.forEach(n -> minions[n].crash());
                    Minion.pause(DOWN_MILLIS);
                    for (int n : victims) {
                        minions[n] = minion(site, n, ++lives[n], port, record, events);
                    }
                }
            }
            load.join();
            Minion.pause(5_000);
            return judge(record, site, events, states);
        }
    }

    private static Minion minion(Site site, int n, int life, int port, Record record, List<Minion.Event> events)
            throws IOException {
        return new Minion(
                String.format("i-%02d-%d", n, life), "127.0.3." + (n + 1) + ":" + port, Site.POOL, "zone-" + (1 + n % 3),
                "r1-" + n / 6, site.controls(), record, events::add);
    }

    private static void handIn(Record record, Site site, long seed, long endMillis, Map<String, String> states) {
        Random random = new Random(seed);
        for (int number = 0; record.millis() < endMillis; number++) {
            String id = String.format("%016x", random.nextLong());
            boolean quick = number % 2 == 0;
            String job = quick
                    ? "{\"task_spec\":\"800\",\"steps\":[{\"count\":8,\"cpu\":2300,\"mem_mb\":4600,\"est_runtime_ms\":800}]}"
                    : "{\"task_spec\":\"2700\",\"steps\":[{\"count\":8,\"cpu\":3500,\"mem_mb\":6400,\"est_runtime_ms\":2700},"
                            + "{\"count\":8,\"cpu\":3500,\"mem_mb\":6400,\"est_runtime_ms\":2700,\"depends_on\":[0]}]}";
            int entry = 1 + number % 2;
            Thread.ofVirtual().start(() -> {
                for (int attempt = 0; attempt < 5; attempt++) {
                    int status = call(record, site.entry(entry), "POST", id, job).status();
                    if (status / 100 == 2) {
                        states.put(id, "accepted");
                        return;
                    }
                    Minion.pause(500);
                }
            });
            Minion.pause(JOB_MILLIS);
        }
    }

    private static Http.Response call(Record record, String entry, String method, String id, String body) {
        Http.Response response = Http.call(entry, method, Site.PREFIX + id, Site.HOST, body, 3_000);
        record.line(method + " " + id + " at " + entry + " -> " + response.status() + " " + response.body());
        return response;
    }

    private static int judge(Record record, Site site, List<Minion.Event> events, Map<String, String> states) {
        long failedEnds = events.stream().filter(event -> event.what().equals("failed")).count();
        int failed = 0;
        for (String id : states.keySet()) {
            if (call(record, site.entry(1), "GET", id, "").body().contains("failed")) {
                failed++;
                record.line("BROKEN: " + id + " is shown as failed; its runs:");
                events.stream()
                        .filter(event -> event.task().startsWith(id + "."))
                        .filter(event -> !event.what().equals("started") && !event.what().equals("done"))
                        .forEach(event -> record.line("    at " + event.millis() + " ms " + event.minion() + " " + event.task()
                                + " run " + event.run() + " " + event.what()));
            }
        }
        record.say(states.size() + " jobs accepted, " + failed + " shown as failed; " + failedEnds
                + " runs ended as failed on the minions");
        return states.size() < 50 ? 2 : failed > 0 ? 1 : 0;
    }
}
