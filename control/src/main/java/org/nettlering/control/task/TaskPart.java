package org.nettlering.control.task;

import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.nettlering.control.log.StatePart;
import org.nettlering.domain.task.StoredTaskState;
import org.nettlering.domain.task.TaskCommand;
import org.nettlering.domain.task.TaskCommandResult;
import org.nettlering.domain.task.TaskState;
import org.nettlering.wire.codec.TaskCommandCodec;
import org.nettlering.wire.codec.TaskSnapshotCodec;
import org.nettlering.wire.proto.CommandProto.SiteCommand;
import org.nettlering.wire.proto.CommandProto.SiteResult;
import org.nettlering.wire.proto.CommandProto.SiteSnapshot;

/**
 * The jobs and workers in the replicated state.
 *
 * <p>Thread-safe: the state and whatever is derived from it are read and changed under the lock of this part.
 */
public final class TaskPart implements StatePart {
    /** Guards the state. */
    private final ReentrantLock lock = new ReentrantLock();

    /** The jobs and workers. */
    private TaskState state = TaskState.empty();

    /** Returns the power cap in the replicated configuration. */
    private final LongSupplier capMilliwatts;

    /**
     * Returns a part without jobs and workers.
     *
     * @param capMilliwatts returns the power cap of the replicated configuration as applied so far, so that every member
     *     reads the same cap at the same position of the log, not null
     * @return a new part, never null
     */
    public static TaskPart create(LongSupplier capMilliwatts) {
        return new TaskPart(capMilliwatts);
    }

    private TaskPart(LongSupplier capMilliwatts) {
        this.capMilliwatts = capMilliwatts;
    }

    /**
     * Reads the state under its lock.
     *
     * @param reader what to do with the state; it neither blocks nor keeps the state, not null
     * @param <T> what is read
     * @return what the reader returned
     */
    public <T> T read(Function<TaskState, T> reader) {
        lock.lock();
        try {
            return reader.apply(state);
        } finally {
            lock.unlock();
        }
    }

    @Override
    public SiteResult apply(SiteCommand command) {
        TaskCommand decoded = TaskCommandCodec.decode(command.getTask());
        long cap = capMilliwatts.getAsLong();
        TaskCommandResult outcome = read(current -> current.apply(decoded, cap));
        return SiteResult.newBuilder().setTask(TaskCommandCodec.encode(outcome)).build();
    }

    @Override
    public void save(SiteSnapshot.Builder snapshot) {
        StoredTaskState image = read(TaskState::snapshot);
        snapshot.setTask(TaskSnapshotCodec.encode(image));
    }

    @Override
    public void restore(SiteSnapshot snapshot) {
        TaskState restored = TaskState.fromSnapshot(TaskSnapshotCodec.decode(snapshot.getTask()));
        lock.lock();
        try {
            state = restored;
        } finally {
            lock.unlock();
        }
    }
}
