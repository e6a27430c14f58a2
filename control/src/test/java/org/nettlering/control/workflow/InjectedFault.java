package org.nettlering.control.workflow;

/** Faults that a check of the task protocol must find. */
enum InjectedFault {
    /** The code as it is. */
    NONE,
    /** Every leader uses the same fencing token. */
    SAME_TOKEN,
    /** Hosts forget their ends before these are in the log. */
    EARLY_ACKNOWLEDGEMENT,
    /** A start without an answer is taken as one that was refused. */
    NO_RESPONSE_AS_REJECTION,
    /** A stop without an answer is taken as one that was carried out. */
    NO_RESPONSE_AS_STOPPED,
    /** A new leader does not get the starts of the earlier ones. */
    UNREPLICATED_STARTS
}
