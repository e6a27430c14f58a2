package org.nettlering.benchmarks.placement.model;

import java.util.List;
import org.nettlering.domain.configuration.Interruption;
import org.nettlering.domain.configuration.Profile;
import org.nettlering.domain.configuration.SiteConfiguration;
import org.nettlering.domain.configuration.Team;
import org.nettlering.domain.task.Resources;

/** The work and the configuration of the modelled site. Stateless and thread-safe. */
final class Catalog {
    /** The class of the latency-critical service. */
    static final String SERVICE_CLASS = "preview";

    /** What an instance of the service declares. */
    static final Resources SERVICE_SIZE = Resources.of(6_000, 12_288, 0);

    /** What an instance of the service draws at the most. */
    static final long SERVICE_MILLIWATTS = 48_000;

    /** What a worker draws without any task. */
    static final long IDLE_MILLIWATTS = 100_000;

    /** What a worker offers. */
    static final Resources WORKER_SIZE = Resources.of(30_000, 128_000, 0);

    /** The class of the jobs that have to start at once. */
    static final String URGENT_CLASS = "correction";

    /** The class that comes in waves. */
    static final String WAVE_CLASS = "transcode";

    /** The batch classes. */
    static final List<WorkClass> BATCH = List.of(
            new WorkClass(
                    "proof",
                    "bundles",
                    "studio",
                    Resources.of(4_000, 8_192, 0),
                    32_000,
                    120_000,
                    2_200,
                    5_000,
                    18_000,
                    120_000,
                    4,
                    900_000,
                    110),
            new WorkClass(
                    "watch",
                    "watchers",
                    "studio",
                    Resources.of(1_000, 2_048, 0),
                    8_000,
                    600_000,
                    500,
                    1_000,
                    4_000,
                    600_000,
                    1,
                    0,
                    30),
            new WorkClass(
                    "index",
                    "bulk",
                    "search",
                    Resources.of(2_000, 4_096, 0),
                    16_000,
                    300_000,
                    2_500,
                    6_000,
                    21_000,
                    180_000,
                    35,
                    0,
                    24),
            new WorkClass(
                    "letter",
                    "letters",
                    "notices",
                    Resources.of(2_000, 4_096, 0),
                    16_000,
                    60_000,
                    1_600,
                    3_000,
                    13_000,
                    90_000,
                    3,
                    600_000,
                    120),
            new WorkClass(
                    "review",
                    "reviews",
                    "notices",
                    Resources.of(6_000, 24_576, 0),
                    90_000,
                    900_000,
                    3_000,
                    10_000,
                    25_000,
                    400_000,
                    10,
                    2_400_000,
                    18),
            new WorkClass(
                    WAVE_CLASS,
                    "bulk",
                    "search",
                    Resources.of(4_000, 6_144, 0),
                    32_000,
                    150_000,
                    4_000,
                    6_000,
                    32_000,
                    150_000,
                    25,
                    0,
                    8),
            new WorkClass(
                    URGENT_CLASS,
                    "urgent",
                    "notices",
                    Resources.of(4_000, 8_192, 0),
                    32_000,
                    60_000,
                    3_000,
                    6_000,
                    25_000,
                    60_000,
                    5,
                    0,
                    2));

    /** An instance of the service, which never ends. */
    static final WorkClass SERVICE = new WorkClass(
            SERVICE_CLASS,
            "previews",
            "studio",
            SERVICE_SIZE,
            SERVICE_MILLIWATTS,
            0,
            5_000,
            9_000,
            40_000,
            Double.MAX_VALUE / 4,
            0,
            0,
            0);

    private Catalog() {}

    static WorkClass batch(String name) {
        return BATCH.stream()
                .filter(workClass -> workClass.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    static SiteConfiguration configuration(long revision, long capMilliwatts, int workers) {
        long millicores = WORKER_SIZE.millicores() * workers;
        long mebibytes = WORKER_SIZE.memoryMebibytes() * workers;
        return SiteConfiguration.of(
                revision,
                List.of(
                        new Profile("previews", 85, Interruption.NEVER, 35),
                        new Profile("urgent", 95, Interruption.THROTTLE, 5),
                        new Profile("letters", 45, Interruption.EVICT, 20),
                        new Profile("bundles", 40, Interruption.EVICT, 15),
                        new Profile("reviews", 35, Interruption.EVICT, 10),
                        new Profile("watchers", 30, Interruption.THROTTLE, 5),
                        new Profile("bulk", 10, Interruption.EVICT, 10)),
                List.of(),
                List.of(
                        new Team("studio", millicores, mebibytes, 0),
                        new Team("notices", millicores, mebibytes, 0),
                        new Team("search", millicores / 2, mebibytes / 2, 0)),
                capMilliwatts);
    }
}
