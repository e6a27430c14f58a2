package org.nettlering.domain.placement;

import java.util.List;
import org.nettlering.domain.configuration.Interruption;
import org.nettlering.domain.configuration.Profile;
import org.nettlering.domain.configuration.SiteConfiguration;
import org.nettlering.domain.task.JobSpecification;
import org.nettlering.domain.task.Resources;

/** Creates jobs and configurations for tests. */
public final class TestJobs {
    public static final long POWER_CAP_MILLIWATTS = 1_000_000;
    public static final Resources WORKER_CAPACITY = Resources.of(8_000, 16_000, 0);

    private TestJobs() {}

    public static SiteConfiguration configuration(long revision, long capMilliwatts) {
        return SiteConfiguration.of(revision, profiles(), List.of(), List.of(), capMilliwatts);
    }

    public static List<Profile> profiles() {
        return List.of(
                new Profile("previews", 85, Interruption.NEVER, 40),
                new Profile("urgent", 95, Interruption.THROTTLE, 10),
                new Profile("letters", 50, Interruption.EVICT, 20),
                new Profile("watchers", 30, Interruption.THROTTLE, 10),
                new Profile("bulk", 10, Interruption.EVICT, 20));
    }

    public static JobSpecification job(String jobId, String profile, long millicores) {
        return job(jobId, profile, "team", "class of " + profile, millicores, 0);
    }

    public static JobSpecification job(
            String jobId, String profile, String team, String workClass, long millicores, long deadlineMillis) {
        return new JobSpecification(
                jobId,
                team,
                profile,
                "",
                workClass,
                Resources.of(millicores, millicores, 0),
                millicores * 10,
                60_000,
                deadlineMillis,
                false);
    }

    public static JobSpecification service(String jobId, String service, long millicores) {
        return new JobSpecification(
                jobId,
                "team",
                "previews",
                service,
                "preview",
                Resources.of(millicores, millicores, 0),
                millicores * 10,
                0,
                0,
                true);
    }
}
