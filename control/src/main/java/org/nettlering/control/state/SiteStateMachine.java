package org.nettlering.control.state;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import org.nettlering.consensus.ReplicatedStateMachine;
import org.nettlering.control.log.StatePart;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.wire.proto.CommandProto.SiteCommand;
import org.nettlering.wire.proto.CommandProto.SiteResult;
import org.nettlering.wire.proto.CommandProto.SiteSnapshot;

/**
 * The whole replicated state: configuration, tasks, the ledger of non-idempotent requests, queues and their jobs.
 *
 * <p>Passes each committed command to the part that it belongs to. The log calls it from one thread; the parts may be read
 * from others.
 */
public final class SiteStateMachine implements ReplicatedStateMachine {
    /** The newest format of snapshots that this program reads; it writes the oldest one that holds the whole state. */
    public static final int FORMAT_VERSION = 2;

    /** The configuration. */
    private final StatePart configuration;

    /** The tasks and workers. */
    private final StatePart tasks;

    /** The ledger of non-idempotent requests. */
    private final StatePart ledger;

    /** The queues and the jobs of steps. */
    private final StatePart workflow;

    /**
     * Creates the state machine.
     *
     * @param configuration the part for configuration commands, not null
     * @param tasks the part for task commands, not null
     * @param ledger the part for ledger commands, not null
     * @param workflow the part for commands about queues and jobs of steps, not null
     * @return a new state machine, never null
     */
    public static SiteStateMachine of(StatePart configuration, StatePart tasks, StatePart ledger, StatePart workflow) {
        return new SiteStateMachine(configuration, tasks, ledger, workflow);
    }

    private SiteStateMachine(StatePart configuration, StatePart tasks, StatePart ledger, StatePart workflow) {
        this.configuration = configuration;
        this.tasks = tasks;
        this.ledger = ledger;
        this.workflow = workflow;
    }

    @Override
    public byte[] apply(long index, byte[] command) {
        SiteCommand decoded = decode(index, command);
        try {
            return apply(index, decoded).toByteArray();
        } catch (RuntimeException exception) {
            if (mustStop(exception)) {
                throw exception;
            }
            throw new NettleringException(
                    ErrorCode.INTERNAL,
                    "log entry " + index + " of kind " + decoded.getCommandCase() + " could not be applied",
                    exception);
        }
    }

    private SiteResult apply(long index, SiteCommand command) {
        return switch (command.getCommandCase()) {
            case CONFIGURATION -> configuration.apply(command);
            case TASK -> tasks.apply(command);
            case LEDGER -> ledger.apply(command);
            case WORKFLOW, QUEUES -> workflow.apply(command);
            case COMMAND_NOT_SET ->
                throw new NettleringException(
                        ErrorCode.STORAGE_TOO_NEW,
                        "log entry " + index + " holds a command that this program does not know");
        };
    }

    /**
     * Returns whether a member must not pass a command over, because other members may apply it: it may come from a newer
     * program, or be damaged on this disk. Any other failure is a fault of a part, which applies deterministically.
     */
    private static boolean mustStop(RuntimeException failure) {
        return failure instanceof NettleringException exception
                && (exception.code() == ErrorCode.STORAGE_TOO_NEW || exception.code() == ErrorCode.STORAGE_CORRUPT);
    }

    @Override
    public CapturedState capture() {
        int formatVersion =
                parts().stream().mapToInt(StatePart::requiredFormat).max().orElse(FORMAT_VERSION);
        SiteSnapshot.Builder snapshot = SiteSnapshot.newBuilder().setFormatVersion(formatVersion);
        parts().forEach(part -> part.save(snapshot));
        SiteSnapshot captured = snapshot.build();
        return captured::toByteArray;
    }

    @Override
    public void restore(byte[] encodedState) {
        SiteSnapshot snapshot = decodeSnapshot(encodedState);
        if (snapshot.getFormatVersion() > FORMAT_VERSION) {
            throw new NettleringException(
                    ErrorCode.STORAGE_TOO_NEW,
                    "the snapshot has format " + snapshot.getFormatVersion() + ", but this program reads up to "
                            + FORMAT_VERSION);
        }
        parts().forEach(part -> part.restore(snapshot));
    }

    private List<StatePart> parts() {
        return List.of(configuration, tasks, ledger, workflow);
    }

    private static SiteCommand decode(long index, byte[] command) {
        try {
            return SiteCommand.parseFrom(command);
        } catch (InvalidProtocolBufferException exception) {
            throw new NettleringException(
                    ErrorCode.STORAGE_CORRUPT, "log entry " + index + " is not a command", exception);
        }
    }

    private static SiteSnapshot decodeSnapshot(byte[] encodedState) {
        try {
            return SiteSnapshot.parseFrom(encodedState);
        } catch (InvalidProtocolBufferException exception) {
            throw new NettleringException(ErrorCode.STORAGE_CORRUPT, "the snapshot cannot be read", exception);
        }
    }
}
