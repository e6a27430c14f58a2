package org.nettlering.consensus;

/**
 * The state machine to which the committed commands of the log are applied.
 *
 * <p>Methods are called by one thread at a time; commands are applied in log order.
 */
public interface ReplicatedStateMachine {
    /**
     * Applies a committed command.
     *
     * @param index the position in the log, from 1
     * @param command the command as it was proposed, not null
     * @return the result for the proposer, never null
     * @throws org.nettlering.domain.error.NettleringException with {@code INTERNAL} if the command cannot be applied, in the
     *     same way on every member; the proposal fails with it, and the member goes on with the next command. Anything else
     *     that is thrown stops the member
     */
    byte[] apply(long index, byte[] command);

    /**
     * Captures the current state without encoding it.
     *
     * @return the captured state, which may be encoded later by another thread, never null
     */
    CapturedState capture();

    /**
     * Replaces the state.
     *
     * @param encodedState the result of {@link CapturedState#encode()} on any member, not null
     */
    void restore(byte[] encodedState);

    /** An immutable view of a captured state. */
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
