package org.nettlering.consensus.simulation;

import java.nio.ByteBuffer;
import org.nettlering.consensus.MemberId;
import org.nettlering.consensus.ReplicatedStateMachine;

/** The replicated state machine of one member: a register that reports every change to the {@link History}. Not thread-safe. */
final class RegisterStateMachine implements ReplicatedStateMachine {
    /** Padding that makes a snapshot larger than one chunk. */
    private static final int PADDING_BYTES = 600;

    private final MemberId self;

    private final History history;

    private Register register = Register.INITIAL;

    private long appliedIndex;

    RegisterStateMachine(MemberId self, History history) {
        this.self = self;
        this.history = history;
    }

    Register register() {
        return register;
    }

    long appliedIndex() {
        return appliedIndex;
    }

    @Override
    public byte[] apply(long index, byte[] command) {
        history.require(index > appliedIndex, self + " applied entry " + index + " after entry " + appliedIndex);
        register = register.apply(RegisterCommand.decode(command));
        appliedIndex = index;
        history.recordApplied(self, index, command, register);
        return register.encode();
    }

    @Override
    public CapturedState capture() {
        byte[] encoded = ByteBuffer.allocate(3 * Long.BYTES + PADDING_BYTES)
                .putLong(appliedIndex)
                .put(register.encode())
                .array();
        return () -> encoded;
    }

    @Override
    public void restore(byte[] encodedState) {
        ByteBuffer buffer = ByteBuffer.wrap(encodedState);
        appliedIndex = buffer.getLong();
        register = new Register(buffer.getLong(), buffer.getLong());
        history.recordRestored(self, appliedIndex, register);
    }
}
