package org.nettlering.domain.configuration;

import java.time.Duration;
import java.util.List;

/**
 * The definition of a service: its profile, routes and limits.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name, not null
 * @param profile the name of the profile, not null
 * @param routes the routes, in no particular order, not null
 * @param requestTimeout the timeout of a request without a deadline of its own, positive, not null
 * @param queueCapacity the maximum number of requests queued at one entry, at least zero
 */
public record ServiceDefinition(
        String name, String profile, List<Route> routes, Duration requestTimeout, int queueCapacity) {
    /**
     * Validates the values and copies the routes.
     *
     * @throws org.nettlering.domain.error.NettleringException {@code INVALID_ARGUMENT} if a value is out of range
     */
    public ServiceDefinition {
        ArgumentChecks.requireValidName("service", name);
        ArgumentChecks.requireValidName("profile", profile);
        ArgumentChecks.require(
                requestTimeout.isPositive(), "request timeout of service \"" + name + "\" must be positive");
        ArgumentChecks.require(queueCapacity >= 0, "queue capacity of service \"" + name + "\" is negative");
        routes = List.copyOf(routes);
    }

    /**
     * Returns a copy with another profile.
     *
     * @param newProfile the name of the new profile, not null
     * @return the copy, never null
     */
    public ServiceDefinition withProfile(String newProfile) {
        return new ServiceDefinition(name, newProfile, routes, requestTimeout, queueCapacity);
    }
}
