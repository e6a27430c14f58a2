package org.nettlering.control.workflow;

import java.util.Locale;
import org.nettlering.domain.workflow.host.HostCommand;

/** The kinds of commands to hosts. The constant names appear in lower case in logs and metrics. */
enum CommandKind {
    /** Starts a run. */
    START,
    /** Stops a run. */
    STOP,
    /** Renews the lease and polls the status of runs; the host may delay its response until a run terminates. */
    LOOK,
    /** Sets the speed of a run. */
    PACE;

    static CommandKind of(HostCommand command) {
        return switch (command) {
            case HostCommand.Start start -> START;
            case HostCommand.Stop stop -> STOP;
            case HostCommand.Poll poll -> LOOK;
            case HostCommand.Throttle throttle -> PACE;
        };
    }

    /** Returns the label value in logs and metrics. */
    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
