package org.nettlering.control.workflow;

import java.util.Locale;
import org.nettlering.domain.workflow.host.HostCommand;

/** The kinds of orders to hosts, as logs and metrics name them. */
enum OrderKind {
    /** Starts a run. */
    START,
    /** Stops a run. */
    STOP,
    /** Renews the lease and asks what runs; its answer may wait for an end. */
    LOOK,
    /** Sets the pace of a run. */
    PACE;

    static OrderKind of(HostCommand order) {
        return switch (order) {
            case HostCommand.Start start -> START;
            case HostCommand.Stop stop -> STOP;
            case HostCommand.Poll hold -> LOOK;
            case HostCommand.Throttle pace -> PACE;
        };
    }

    /** Returns the name in logs and metrics. */
    String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
