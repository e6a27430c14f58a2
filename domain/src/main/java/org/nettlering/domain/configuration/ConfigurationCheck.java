package org.nettlering.domain.configuration;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/** Checks a configuration as a whole. */
final class ConfigurationCheck {
    /** The most that the power shares of all profiles may add up to, in percent. */
    private static final int MAXIMUM_TOTAL_SHARE_PERCENT = 100;

    private ConfigurationCheck() {}

    /**
     * Checks that the parts of a configuration agree.
     *
     * @param profiles the profiles by name, not null
     * @param services the services by name, not null
     * @param powerCapMilliwatts the cap in milliwatts
     * @throws NettleringException {@code INVALID_CONFIGURATION} if they do not
     */
    static void check(Map<String, Profile> profiles, Map<String, ServiceDefinition> services, long powerCapMilliwatts) {
        checkPower(profiles.values(), powerCapMilliwatts);
        checkProfilesExist(profiles, services.values());
        checkRoutesAreUnique(services.values());
    }

    private static void checkPower(Collection<Profile> profiles, long powerCapMilliwatts) {
        if (powerCapMilliwatts < 0) {
            throw invalid("the power cap of " + powerCapMilliwatts + " mW is negative");
        }
        int total = profiles.stream().mapToInt(Profile::powerSharePercent).sum();
        if (total > MAXIMUM_TOTAL_SHARE_PERCENT) {
            throw invalid("the power shares of all profiles add up to " + total + "%, more than "
                    + MAXIMUM_TOTAL_SHARE_PERCENT + "%");
        }
    }

    private static void checkProfilesExist(Map<String, Profile> profiles, Collection<ServiceDefinition> services) {
        for (ServiceDefinition service : services) {
            if (!profiles.containsKey(service.profile())) {
                throw invalid("service \"" + service.name() + "\" names profile \"" + service.profile()
                        + "\", which does not exist");
            }
        }
    }

    private static void checkRoutesAreUnique(Collection<ServiceDefinition> services) {
        Map<Route, String> owners = new HashMap<>();
        for (ServiceDefinition service : services) {
            for (Route route : service.routes()) {
                String other = owners.put(route, service.name());
                if (other != null) {
                    throw invalid("the route " + route.host() + route.pathPrefix() + " belongs to both \"" + other
                            + "\" and \"" + service.name() + "\"");
                }
            }
        }
    }

    private static NettleringException invalid(String message) {
        return new NettleringException(ErrorCode.INVALID_CONFIGURATION, message);
    }
}
