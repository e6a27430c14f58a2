package org.nettlering.control.workflow;

/** Faults that {@link TaskProtocolSimulation} must detect. */
enum InjectedFault {
    /** No fault: the unchanged code. */
    NONE,
    /** Every leader uses the same fencing token. */
    SAME_TOKEN,
    /** Hosts discard terminations before these are committed. */
    EARLY_ACKNOWLEDGEMENT,
    /** The leader treats a start without a response as rejected. */
    NO_RESPONSE_AS_REJECTION,
    /** The leader treats a stop without a response as executed. */
    NO_RESPONSE_AS_STOPPED,
    /** A new leader does not receive the starts that earlier leaders committed. */
    UNREPLICATED_STARTS
}
