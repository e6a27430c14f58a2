package org.nettlering.domain.configuration;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/** Validates the consistency of a whole configuration. */
final class ConfigurationValidator {
    /** The maximum sum of the power shares of all profiles, in percent. */
    private static final int MAX_TOTAL_POWER_SHARE_PERCENT = 100;

    private ConfigurationValidator() {}

    /**
     * Validates that the parts of a configuration are consistent.
     *
     * @param profiles the profiles by name, not null
     * @param services the services by name, not null
     * @param powerCapMilliwatts the cap in milliwatts
     * @throws NettleringException {@code INVALID_CONFIGURATION} if they are not
     */
    static void validate(
            Map<String, Profile> profiles, Map<String, ServiceDefinition> services, long powerCapMilliwatts) {
        validatePower(profiles.values(), powerCapMilliwatts);
        validateProfileReferences(profiles, services.values());
        validateRoutesAreUnique(services.values());
    }

    private static void validatePower(Collection<Profile> profiles, long powerCapMilliwatts) {
        if (powerCapMilliwatts < 0) {
            throw invalid("the power cap of " + powerCapMilliwatts + " mW is negative");
        }
        int totalSharePercent =
                profiles.stream().mapToInt(Profile::powerSharePercent).sum();
        if (totalSharePercent > MAX_TOTAL_POWER_SHARE_PERCENT) {
            throw invalid("the power shares of all profiles add up to " + totalSharePercent + "%, more than "
                    + MAX_TOTAL_POWER_SHARE_PERCENT + "%");
        }
    }

    private static void validateProfileReferences(
            Map<String, Profile> profiles, Collection<ServiceDefinition> services) {
        for (ServiceDefinition service : services) {
            if (!profiles.containsKey(service.profile())) {
                throw invalid("service \"" + service.name() + "\" names profile \"" + service.profile()
                        + "\", which does not exist");
            }
        }
    }

    private static void validateRoutesAreUnique(Collection<ServiceDefinition> services) {
        Map<Route, String> serviceByRoute = new HashMap<>();
        for (ServiceDefinition service : services) {
            for (Route route : service.routes()) {
                String other = serviceByRoute.put(route, service.name());
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
