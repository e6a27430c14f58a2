package org.nettlering.domain.configuration;

import java.time.Duration;
import java.util.List;

/**
 * A service: the profile it runs under, the routes that lead to it and its limits.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name, not null
 * @param profile the name of the profile, not null
 * @param routes the routes, in no particular order, not null
 * @param requestTimeout the deadline of a request that brings none, positive, not null
 * @param queueCapacity how many requests may wait at one entry, at least zero
 */
public record ServiceDefinition(
        String name, String profile, List<Route> routes, Duration requestTimeout, int queueCapacity) {
    /**
     * Checks the values and copies the routes.
     *
     * @throws org.nettlering.domain.error.NettleringException {@code INVALID_ARGUMENT} if a value is out of range
     */
    public ServiceDefinition {
        Names.check("service", name);
        Names.check("profile", profile);
        Names.require(requestTimeout.isPositive(), "request timeout of service \"" + name + "\" must be positive");
        Names.require(queueCapacity >= 0, "queue capacity of service \"" + name + "\" is negative");
        routes = List.copyOf(routes);
    }

    /**
     * Returns a copy under another profile.
     *
     * @param newProfile the name of the profile, not null
     * @return the copy, never null
     */
    public ServiceDefinition withProfile(String newProfile) {
        return new ServiceDefinition(name, newProfile, routes, requestTimeout, queueCapacity);
    }
}
