package org.nettlering.entry.lifecycle;

import java.util.Optional;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.entry.configuration.ConfigurationClient;

/**
 * Tells whether a new request may be taken.
 *
 * <p>A stopping entry goes on taking requests until the balancer has noticed; an entry whose configuration is not confirmed
 * takes none. Thread-safe.
 */
public final class AcceptanceGate {
    /** Knows whether the configuration is fresh. */
    private final ConfigurationClient configuration;

    /** True once no new request is taken. */
    private volatile boolean closed;

    /**
     * Creates an open gate.
     *
     * @param configuration knows whether the configuration is fresh, not null
     * @return a new gate, never null
     */
    public static AcceptanceGate of(ConfigurationClient configuration) {
        return new AcceptanceGate(configuration);
    }

    private AcceptanceGate(ConfigurationClient configuration) {
        this.configuration = configuration;
    }

    /**
     * Returns why a new request is refused.
     *
     * @return the code, or empty when it is taken, never null
     */
    public Optional<ErrorCode> rejectionCode() {
        if (closed) {
            return Optional.of(ErrorCode.STOPPING);
        }
        return configuration.isFresh() ? Optional.empty() : Optional.of(ErrorCode.CONFIGURATION_STALE);
    }

    /** Takes no request from now on. */
    public void close() {
        closed = true;
    }
}
