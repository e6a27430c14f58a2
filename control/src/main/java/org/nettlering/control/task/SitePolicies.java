package org.nettlering.control.task;

import java.util.HashMap;
import java.util.Map;
import org.nettlering.domain.placement.Interruption;
import org.nettlering.domain.placement.ProfileIntent;
import org.nettlering.domain.placement.SitePolicy;
import org.nettlering.domain.task.Resources;
import org.nettlering.wire.proto.ConfigurationProto;
import org.nettlering.wire.proto.ConfigurationProto.SiteConfiguration;

/** Takes from the site's configuration what placement follows. Stateless and thread-safe. */
final class SitePolicies {
    private SitePolicies() {}

    static SitePolicy from(SiteConfiguration configuration) {
        Map<String, ProfileIntent> profiles = new HashMap<>();
        for (ConfigurationProto.Profile profile : configuration.getProfilesList()) {
            profiles.put(
                    profile.getName(),
                    new ProfileIntent(
                            profile.getName(),
                            profile.getUrgency(),
                            interruption(profile.getInterruption()),
                            profile.getPowerSharePercent()));
        }
        Map<String, String> serviceProfiles = new HashMap<>();
        for (ConfigurationProto.Service service : configuration.getServicesList()) {
            serviceProfiles.put(service.getName(), service.getProfile());
        }
        Map<String, Resources> quotas = new HashMap<>();
        for (ConfigurationProto.Team team : configuration.getTeamsList()) {
            quotas.put(
                    team.getName(),
                    Resources.of(team.getMillicores(), team.getMemoryMebibytes(), team.getAccelerators()));
        }
        return new SitePolicy(
                configuration.getRevision(), profiles, serviceProfiles, quotas, configuration.getPowerCapMilliwatts());
    }

    private static Interruption interruption(ConfigurationProto.Interruption interruption) {
        return switch (interruption) {
            case THROTTLE -> Interruption.THROTTLE;
            case EVICT -> Interruption.EVICT;
            case NEVER, INTERRUPTION_UNSPECIFIED, UNRECOGNIZED -> Interruption.NEVER;
        };
    }
}
