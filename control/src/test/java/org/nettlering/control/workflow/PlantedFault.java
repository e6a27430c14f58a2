package org.nettlering.control.workflow;

/** Faults that a check of the task protocol must find. */
enum PlantedFault {
    /** The code as it is. */
    NONE,
    /** Every leader uses the same fencing token. */
    SAME_TOKEN,
    /** Hosts forget their ends before these are in the log. */
    FORGOTTEN_EARLY,
    /** A start without an answer is taken as one that was refused. */
    SILENCE_IS_REFUSAL,
    /** A stop without an answer is taken as one that was carried out. */
    SILENCE_IS_A_STOP,
    /** A new leader does not get the starts of the earlier ones. */
    UNLOGGED_STARTS
}
