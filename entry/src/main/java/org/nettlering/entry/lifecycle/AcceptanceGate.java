package org.nettlering.entry.lifecycle;

import java.util.Optional;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.entry.configuration.ConfigurationClient;

/**
 * Decides whether new requests are accepted.
 *
 * <p>An entry that is shutting down accepts requests until the gate is closed, so that the load balancer has time to remove
 * it. An entry whose configuration is stale accepts none. Thread-safe.
 */
public final class AcceptanceGate {
    private final ConfigurationClient configuration;

    private volatile boolean closed;

    /**
     * Creates an open gate.
     *
     * @param configuration the source of the configuration and its freshness, not null
     * @return a new gate, never null
     */
    public static AcceptanceGate of(ConfigurationClient configuration) {
        return new AcceptanceGate(configuration);
    }

    private AcceptanceGate(ConfigurationClient configuration) {
        this.configuration = configuration;
    }

    /**
     * Returns the error code with which new requests are rejected.
     *
     * @return the code, or empty if requests are accepted, never null
     */
    public Optional<ErrorCode> rejectionCode() {
        if (closed) {
            return Optional.of(ErrorCode.STOPPING);
        }
        return configuration.isFresh() ? Optional.empty() : Optional.of(ErrorCode.CONFIGURATION_STALE);
    }

    /** Rejects all requests from now on. */
    public void close() {
        closed = true;
    }
}
