package org.nettlering.domain.placement;

import java.util.Map;
import java.util.Optional;
import org.nettlering.domain.task.JobSpecification;
import org.nettlering.domain.task.Resources;

/**
 * The part of the site's configuration that placement follows.
 *
 * <p>Immutable and thread-safe.
 *
 * @param revision the configuration's revision
 * @param profiles profiles by name, not null
 * @param serviceProfiles the profile of each service, by the service's name, not null
 * @param quotas what each team may have committed, by the team's name; a team without an entry has no limit, not null
 * @param capMilliwatts the cap on the site's draw
 */
public record SitePolicy(
        long revision,
        Map<String, ProfileIntent> profiles,
        Map<String, String> serviceProfiles,
        Map<String, Resources> quotas,
        long capMilliwatts) {

    /** Checks and copies. */
    public SitePolicy {
        profiles = Map.copyOf(profiles);
        serviceProfiles = Map.copyOf(serviceProfiles);
        quotas = Map.copyOf(quotas);
    }

    /**
     * Returns the profile that a job runs under now.
     *
     * @param job the job, not null
     * @return the profile of its service, or its own; empty if that does not exist, never null
     */
    public Optional<ProfileIntent> profileOf(JobSpecification job) {
        String name = serviceProfiles.getOrDefault(job.service(), job.profile());
        return Optional.ofNullable(profiles.get(name));
    }
}
