package org.nettlering.domain.configuration;

import org.nettlering.domain.error.ErrorCode;

/** What became of an operator's request. Immutable and thread-safe. */
public sealed interface ConfigurationOutcome {
    /**
     * The change was accepted.
     *
     * @param revision the revision that it made
     */
    record Accepted(long revision) implements ConfigurationOutcome {}

    /**
     * The change was refused and had no effect.
     *
     * @param code why, not null
     * @param message why, in words, not null
     * @param currentRevision the revision at that moment
     */
    record Rejected(ErrorCode code, String message, long currentRevision) implements ConfigurationOutcome {}
}
