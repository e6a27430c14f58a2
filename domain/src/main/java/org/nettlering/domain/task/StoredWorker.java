package org.nettlering.domain.task;

import java.util.List;

/**
 * The snapshot representation of a {@link Worker}, with the same components.
 *
 * <p>Immutable and thread-safe.
 */
public record StoredWorker(
        String id,
        long incarnation,
        long session,
        boolean live,
        Resources capacity,
        long idleMilliwatts,
        String rack,
        String failureDomain,
        long quarantinedUntilMillis,
        int quarantines,
        List<String> attributedFailures,
        List<Decision> decisions) {}
