package org.nettlering.consensus;

/**
 * What the replicated log drives.
 *
 * <p>Calls come from one thread at a time, in the order of the log.
 */
public interface ReplicatedStateMachine {
    /**
     * Applies a committed command.
     *
     * @param index the position in the log, from 1
     * @param command the command as it was proposed, not null
     * @return the answer to whoever proposed it, never null
     */
    byte[] apply(long index, byte[] command);

    /**
     * Captures the state as it is now, without writing it out.
     *
     * @return the captured state; it may be encoded later on another thread, never null
     */
    CapturedState capture();

    /**
     * Replaces the state.
     *
     * @param encodedState what {@link CapturedState#encode()} returned on some member, not null
     */
    void restore(byte[] encodedState);

    /** A state that was captured and no longer changes. */
    @FunctionalInterface
    interface CapturedState {
        /**
         * Encodes the state.
         *
         * @return the encoded state, never null
         */
        byte[] encode();
    }
}
