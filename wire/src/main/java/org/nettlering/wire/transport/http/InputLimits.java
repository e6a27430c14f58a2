package org.nettlering.wire.transport.http;

import java.time.Duration;
import org.nettlering.domain.queue.RequestLimits;
import org.nettlering.runtime.settings.SettingsReader;

/**
 * What the clients of a server may make the process hold, all of them together: the optional section {@code [limits]}.
 *
 * <p>Immutable and thread-safe.
 *
 * @param maxConnections the maximum number of open connections
 * @param memoryBytes the maximum memory for requests that are received or wait for their response, in bytes
 * @param maxBodyBytes the maximum size of a request body, whatever the operator allows, in bytes
 * @param bodyTimeout the maximum time until a body is complete, not null
 */
public record InputLimits(int maxConnections, long memoryBytes, int maxBodyBytes, Duration bodyTimeout) {
    /** A body of 256 KiB takes one second on a link of 2 Mbit/s. */
    private static final Duration BODY_TIMEOUT = Duration.ofSeconds(30);

    /** The limits of a server for few clients, whose requests need no body. */
    static final InputLimits FEW = new InputLimits(64, 1 << 20, 64 * 1024, BODY_TIMEOUT);

    private static final String SECTION = "limits";

    private static final int LARGEST_BODY_BYTES = 4 << 20;

    /** A body of an entry takes up to 25 times its size while it is parsed. */
    private static final int HEAP_PARTS_OF_A_PARSED_BODY = 128;

    private static final int HEAP_PARTS_OF_A_BODY = 16;

    private static final int HEAP_PARTS_OF_REQUESTS = 8;

    /** Less than the 3,900 descriptors of an edge machine that are not reserved. */
    private static final int ENTRY_CONNECTIONS = 3_500;

    /** Leaves more than a thousand descriptors to the connections to hosts and other processes. */
    private static final int CONTROL_CONNECTIONS = 2_500;

    /**
     * Reads the limits of a server for callers.
     *
     * @param reader the reader of the settings file; it collects the faults, not null
     * @return the limits, never null
     */
    public static InputLimits readForEntry(SettingsReader reader) {
        return read(reader, entryDefaults());
    }

    /**
     * Returns the limits of a server for callers where the settings state none.
     *
     * @return the limits, never null
     */
    public static InputLimits entryDefaults() {
        InputLimits defaults = defaults(ENTRY_CONNECTIONS, HEAP_PARTS_OF_A_PARSED_BODY);
        return new InputLimits(
                defaults.maxConnections,
                defaults.memoryBytes,
                Math.max(defaults.maxBodyBytes, RequestLimits.DEFAULT.maxBodyBytes()),
                defaults.bodyTimeout);
    }

    /**
     * Reads the limits of a server for hosts and operators.
     *
     * @param reader the reader of the settings file; it collects the faults, not null
     * @return the limits, never null
     */
    public static InputLimits readForControl(SettingsReader reader) {
        return read(reader, defaults(CONTROL_CONNECTIONS, HEAP_PARTS_OF_A_BODY));
    }

    private static InputLimits defaults(int connections, int heapPartsOfABody) {
        long heapBytes = Runtime.getRuntime().maxMemory();
        return new InputLimits(
                OpenDescriptors.connectionsWithin(connections),
                heapBytes / HEAP_PARTS_OF_REQUESTS,
                (int) Math.min(LARGEST_BODY_BYTES, heapBytes / heapPartsOfABody),
                BODY_TIMEOUT);
    }

    private static InputLimits read(SettingsReader reader, InputLimits defaults) {
        return new InputLimits(
                (int) Math.min(Integer.MAX_VALUE, reader.size(SECTION, "connections", defaults.maxConnections)),
                reader.size(SECTION, "request_memory_bytes", defaults.memoryBytes),
                (int) Math.min(Integer.MAX_VALUE, reader.size(SECTION, "max_body_bytes", defaults.maxBodyBytes)),
                reader.millis(SECTION, "body_timeout_millis", defaults.bodyTimeout));
    }
}
