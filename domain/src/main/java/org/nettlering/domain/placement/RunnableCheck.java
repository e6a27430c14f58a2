package org.nettlering.domain.placement;

import java.util.Optional;
import java.util.Set;
import org.nettlering.domain.configuration.Interruption;
import org.nettlering.domain.configuration.Profile;
import org.nettlering.domain.configuration.SiteConfiguration;
import org.nettlering.domain.configuration.Team;
import org.nettlering.domain.profile.Profiles;
import org.nettlering.domain.task.JobSpecification;
import org.nettlering.domain.task.Resources;

/** Determines whether a job can ever run under the site's current configuration. Stateless and thread-safe. */
final class RunnableCheck {
    private RunnableCheck() {}

    /** Returns why a job can never run; empty if it can run or if no worker has registered yet. */
    static Optional<String> unrunnableReason(
            JobSpecification job,
            Resources request,
            long milliwatts,
            Set<Resources> capacities,
            long idleMilliwatts,
            SiteConfiguration configuration) {
        if (capacities.isEmpty()) {
            return Optional.empty();
        }
        Optional<Profile> profile = Profiles.of(configuration, job);
        if (profile.isEmpty()) {
            return Optional.of("profile \"" + job.profile() + "\" does not exist");
        }
        Team team = configuration.teams().get(job.team());
        if (team != null && !request.fitsIn(teamQuota(team))) {
            return Optional.of(
                    "needs " + request + ", and the quota of team \"" + team.name() + "\" is " + teamQuota(team));
        }
        Resources largest = capacities.stream().reduce(Resources.NONE, Resources::max);
        boolean fitsAnyWorker = capacities.stream().anyMatch(request::fitsIn);
        if (!fitsAnyWorker) {
            return Optional.of("needs " + request + ", and no worker offers that; the largest of each is " + largest);
        }
        return powerReason(milliwatts, configuration, profile.get(), idleMilliwatts);
    }

    static Resources teamQuota(Team team) {
        return Resources.of(team.millicores(), team.memoryMebibytes(), team.accelerators());
    }

    private static Optional<String> powerReason(
            long milliwatts, SiteConfiguration configuration, Profile profile, long idleMilliwatts) {
        long budgetMilliwatts = Math.max(0, configuration.powerCapMilliwatts() - idleMilliwatts);
        if (milliwatts > budgetMilliwatts) {
            return Optional.of(
                    "draws " + milliwatts + " mW, and the cap leaves " + budgetMilliwatts + " mW for all tasks");
        }
        long shareMilliwatts = budgetMilliwatts * profile.powerSharePercent() / 100;
        if (profile.interruption() == Interruption.NEVER && milliwatts > shareMilliwatts) {
            return Optional.of("draws " + milliwatts + " mW, and profile \"" + profile.name()
                    + "\", which is never interrupted, has a share of " + shareMilliwatts + " mW");
        }
        return Optional.empty();
    }
}
