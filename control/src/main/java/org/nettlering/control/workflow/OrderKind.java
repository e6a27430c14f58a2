package org.nettlering.control.workflow;

import java.util.Locale;
import org.nettlering.domain.workflow.host.HostOrder;

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

    static OrderKind of(HostOrder order) {
        return switch (order) {
            case HostOrder.Start start -> START;
            case HostOrder.Stop stop -> STOP;
            case HostOrder.Hold hold -> LOOK;
            case HostOrder.Pace pace -> PACE;
        };
    }

    /** Returns the name in logs and metrics. */
    String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
