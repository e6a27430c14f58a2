package org.nettlering.entry.callers;

import java.util.concurrent.ConcurrentHashMap;
import org.nettlering.domain.retry.AdaptiveTimeout;
import org.nettlering.domain.retry.RetryBudget;

/** The retry budget and the patience of each service. Thread-safe. */
public final class ServiceLimits {
    /** The budgets by service. */
    private final ConcurrentHashMap<String, RetryBudget> budgets = new ConcurrentHashMap<>();

    /** The patience by service. */
    private final ConcurrentHashMap<String, AdaptiveTimeout> patience = new ConcurrentHashMap<>();

    /**
     * Creates limits without services.
     *
     * @return new limits, never null
     */
    public static ServiceLimits create() {
        return new ServiceLimits();
    }

    private ServiceLimits() {}

    RetryBudget budget(String service) {
        return budgets.computeIfAbsent(service, name -> RetryBudget.create());
    }

    AdaptiveTimeout patience(String service) {
        return patience.computeIfAbsent(service, name -> AdaptiveTimeout.create());
    }
}
