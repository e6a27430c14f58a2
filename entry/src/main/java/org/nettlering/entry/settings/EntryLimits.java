package org.nettlering.entry.settings;

import java.time.Duration;
import org.nettlering.runtime.settings.SettingsReader;

/**
 * Limits on the input and the shutdown of an entry: the optional section {@code [limits]}.
 *
 * <p>Immutable and thread-safe.
 *
 * @param maxHeadBytes the maximum size of a request head, in bytes
 * @param maxBodyBytes the maximum size of a request body, in bytes
 * @param maxReplayBytes the maximum size of a body that is buffered for retries, in bytes
 * @param maxQueuedRequests the maximum number of queued requests, over all services
 * @param headTimeout the maximum time until a connection has sent a complete request head, not null
 * @param balancerNotice how long a stopping entry still accepts requests after it reports not ready, not null
 * @param stopTimeout the maximum time that a shutdown waits for the requests in flight, not null
 */
public record EntryLimits(
        int maxHeadBytes,
        long maxBodyBytes,
        int maxReplayBytes,
        int maxQueuedRequests,
        Duration headTimeout,
        Duration balancerNotice,
        Duration stopTimeout) {
    /** The limits for keys that are missing in the settings file. */
    public static final EntryLimits DEFAULTS = new EntryLimits(
            16 * 1024,
            64L * 1024 * 1024,
            64 * 1024,
            2_000,
            Duration.ofSeconds(15),
            Duration.ofSeconds(3),
            Duration.ofSeconds(60));

    private static final String SECTION = "limits";

    /**
     * Reads the section.
     *
     * @param reader the reader of the settings file; it collects the faults, not null
     * @return the limits, never null
     */
    public static EntryLimits read(SettingsReader reader) {
        return new EntryLimits(
                readInt(reader, "max_head_bytes", DEFAULTS.maxHeadBytes),
                reader.size(SECTION, "max_body_bytes", DEFAULTS.maxBodyBytes),
                readInt(reader, "replay_bytes", DEFAULTS.maxReplayBytes),
                readInt(reader, "waiting_requests", DEFAULTS.maxQueuedRequests),
                reader.millis(SECTION, "head_timeout_millis", DEFAULTS.headTimeout),
                reader.millis(SECTION, "balancer_notice_millis", DEFAULTS.balancerNotice),
                reader.millis(SECTION, "stop_timeout_millis", DEFAULTS.stopTimeout));
    }

    private static int readInt(SettingsReader reader, String key, int defaultValue) {
        long value = reader.size(SECTION, key, defaultValue);
        if (value > Integer.MAX_VALUE) {
            reader.fault(SECTION, key, value + " is more than " + Integer.MAX_VALUE);
            return defaultValue;
        }
        return (int) value;
    }
}
