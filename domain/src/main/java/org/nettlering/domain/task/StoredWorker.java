package org.nettlering.domain.task;

import java.util.List;

/**
 * A worker as it is written into a snapshot.
 *
 * <p>Immutable and thread-safe; the components are those of {@link Worker}.
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
