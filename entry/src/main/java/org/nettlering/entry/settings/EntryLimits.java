package org.nettlering.entry.settings;

import java.time.Duration;
import org.nettlering.runtime.settings.SettingsReader;

/**
 * Bounds of what an entry takes from outside: the optional section {@code [limits]}.
 *
 * <p>Immutable and thread-safe.
 *
 * @param maxHeadBytes how large the head of a request may be
 * @param maxBodyBytes how large the body of a request may be
 * @param maxReplayBytes how large a body may be to be sent again
 * @param maxQueuedRequests how many requests wait at most, over all services
 * @param headTimeout how long a connection may take to send a whole head, not null
 * @param balancerNotice how long the entry accepts requests after it turned unready, not null
 * @param stopTimeout how long a stop waits for the requests in flight, not null
 */
public record EntryLimits(
        int maxHeadBytes,
        long maxBodyBytes,
        int maxReplayBytes,
        int maxQueuedRequests,
        Duration headTimeout,
        Duration balancerNotice,
        Duration stopTimeout) {
    /** The limits that hold where the settings name none. */
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
     * @param reader the reader of the file, which collects the faults, not null
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
