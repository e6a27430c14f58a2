package org.nettlering.domain.configuration;

import org.nettlering.domain.error.ErrorCode;

/** The outcome of a {@link ConfigurationOperation}. Immutable and thread-safe. */
public sealed interface ConfigurationOutcome {
    /**
     * The operation was accepted.
     *
     * @param revision the revision that the operation created
     */
    record Accepted(long revision) implements ConfigurationOutcome {}

    /**
     * The operation was rejected and had no effect.
     *
     * @param code the error code, not null
     * @param message the reason, not null
     * @param currentRevision the current revision at the time of the operation
     */
    record Refused(ErrorCode code, String message, long currentRevision) implements ConfigurationOutcome {}
}
