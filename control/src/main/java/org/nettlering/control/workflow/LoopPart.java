package org.nettlering.control.workflow;

import java.util.Locale;

/**
 * The parts of the leader's work that fail independently of each other. The constant names appear in lower case in logs and
 * metrics.
 */
enum LoopPart {
    /** Plans starts. */
    PLAN,
    /** Proposes a batch to the log. */
    PROPOSAL,
    /** Handles one command of a committed batch. */
    COMMIT,
    /** Visits one host to collect terminations or due commands. */
    VISIT,
    /** Sends one command to a host. */
    COMMAND,
    /** Handles the response to one command. */
    RESPONSE;

    /** Returns the label value in logs and metrics. */
    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
