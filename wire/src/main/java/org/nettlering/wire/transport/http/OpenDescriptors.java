package org.nettlering.wire.transport.http;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;

/** The descriptors that the operating system allows this process. */
final class OpenDescriptors {
    /** Files, and the connections to other processes. */
    private static final int RESERVED = 250;

    private OpenDescriptors() {}

    /** Returns how many connections of clients fit, at least one and at most the given number. */
    static int connectionsWithin(int maximum) {
        if (ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean system) {
            long free = system.getMaxFileDescriptorCount() - RESERVED;
            return Math.clamp(free, 1, maximum);
        }
        return maximum;
    }
}
