package org.nettlering.entry.callers;

import java.util.concurrent.ConcurrentHashMap;
import org.nettlering.domain.retry.AdaptiveTimeout;
import org.nettlering.domain.retry.RetryBudget;

/** The retry budget and the adaptive timeout of each service, created on first use. Thread-safe. */
public final class ServiceRetryLimits {
    private final ConcurrentHashMap<String, RetryBudget> budgets = new ConcurrentHashMap<>();
    private final ConcurrentHashMap<String, AdaptiveTimeout> adaptiveTimeout = new ConcurrentHashMap<>();

    /**
     * Creates limits that hold no service yet.
     *
     * @return new limits, never null
     */
    public static ServiceRetryLimits create() {
        return new ServiceRetryLimits();
    }

    private ServiceRetryLimits() {}

    RetryBudget budget(String service) {
        return budgets.computeIfAbsent(service, name -> RetryBudget.create());
    }

    AdaptiveTimeout adaptiveTimeout(String service) {
        return adaptiveTimeout.computeIfAbsent(service, name -> AdaptiveTimeout.create());
    }
}
