package org.nettlering.domain.profile;

import java.util.Optional;
import org.nettlering.domain.configuration.Interruption;
import org.nettlering.domain.configuration.Profile;
import org.nettlering.domain.configuration.ServiceDefinition;
import org.nettlering.domain.configuration.SiteConfiguration;
import org.nettlering.domain.task.JobSpecification;

/** Looks up the profile that applies to a job, and its properties. Stateless and thread-safe. */
public final class Profiles {
    private Profiles() {}

    /**
     * Returns the profile of a job: that of its service if it belongs to one, otherwise the one named by the job.
     *
     * @param configuration the configuration in force, not null
     * @param job the job, not null
     * @return the profile, or empty if it does not exist, never null
     */
    public static Optional<Profile> of(SiteConfiguration configuration, JobSpecification job) {
        ServiceDefinition service = configuration.services().get(job.service());
        String name = service == null ? job.profile() : service.profile();
        return Optional.ofNullable(configuration.profiles().get(name));
    }

    /**
     * Returns the urgency of a job.
     *
     * @param configuration the configuration in force, not null
     * @param job the job, not null
     * @return the urgency of its profile, zero if the profile does not exist
     */
    public static int urgency(SiteConfiguration configuration, JobSpecification job) {
        return of(configuration, job).map(Profile::urgency).orElse(0);
    }

    /**
     * Returns how a job may be interrupted.
     *
     * @param configuration the configuration in force, not null
     * @param job the job, not null
     * @return the interruption of its profile, {@link Interruption#EVICT} if the profile does not exist, never null
     */
    public static Interruption interruption(SiteConfiguration configuration, JobSpecification job) {
        return of(configuration, job).map(Profile::interruption).orElse(Interruption.EVICT);
    }
}
