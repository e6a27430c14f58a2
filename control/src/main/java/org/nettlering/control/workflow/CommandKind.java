package org.nettlering.control.workflow;

import java.util.Locale;
import org.nettlering.domain.workflow.host.HostCommand;

/** The kinds of orders to hosts, as logs and metrics name them. */
enum CommandKind {
    /** Starts a run. */
    START,
    /** Stops a run. */
    STOP,
    /** Renews the lease and asks what runs; its answer may wait for an end. */
    LOOK,
    /** Sets the pace of a run. */
    PACE;

    static CommandKind of(HostCommand command) {
        return switch (command) {
            case HostCommand.Start start -> START;
            case HostCommand.Stop stop -> STOP;
            case HostCommand.Poll hold -> LOOK;
            case HostCommand.Throttle pace -> PACE;
        };
    }

    /** Returns the name in logs and metrics. */
    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
