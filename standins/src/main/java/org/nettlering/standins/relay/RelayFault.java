package org.nettlering.standins.relay;

import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/** What a relay does to the bytes that pass through it. */
public sealed interface RelayFault {
    /** Passes every byte on. */
    record None() implements RelayFault {}

    /** Closes every connection and refuses new ones. */
    record Cut() implements RelayFault {}

    /**
     * Passes every byte on later, in order.
     *
     * @param millis how much later, in milliseconds
     */
    record Delay(long millis) implements RelayFault {}

    /** Holds every byte back until the fault ends; connections stay open. */
    record Freeze() implements RelayFault {}

    /** Swallows every byte on connections that are open now, for good; new connections work. */
    record Silent() implements RelayFault {}

    /** Swallows every byte on all connections; new connections are accepted. */
    record BlackHole() implements RelayFault {}

    /**
     * Reads a fault.
     *
     * @param text {@code none}, {@code cut}, {@code delay-MILLIS}, {@code freeze}, {@code silent} or {@code black-hole}, not null
     * @return the fault, never null
     * @throws NettleringException with {@code INVALID_ARGUMENT} for any other text
     */
    static RelayFault parse(String text) {
        if (text.startsWith("delay-")) {
            return new Delay(Long.parseLong(text.substring("delay-".length())));
        }
        return switch (text) {
            case "none" -> new None();
            case "cut" -> new Cut();
            case "freeze" -> new Freeze();
            case "silent" -> new Silent();
            case "black-hole" -> new BlackHole();
            default ->
                throw new NettleringException(ErrorCode.INVALID_ARGUMENT, "fault \"" + text + "\" does not exist");
        };
    }
}
