package org.nettlering.control.workflow;

import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BiFunction;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.nettlering.control.log.StatePart;
import org.nettlering.domain.queue.QueueConfiguration;
import org.nettlering.domain.workflow.CommandResult;
import org.nettlering.domain.workflow.WorkflowState;
import org.nettlering.domain.workflow.WorkflowStateSnapshot;
import org.nettlering.wire.codec.QueueCodec;
import org.nettlering.wire.codec.WorkflowCommandCodec;
import org.nettlering.wire.codec.WorkflowSnapshotCodec;
import org.nettlering.wire.proto.CommandProto.SiteCommand;
import org.nettlering.wire.proto.CommandProto.SiteResult;
import org.nettlering.wire.proto.CommandProto.SiteSnapshot;
import org.nettlering.wire.proto.WorkflowProto.QueueCommand;
import org.nettlering.wire.proto.WorkflowProto.QueueResult;
import org.nettlering.wire.proto.WorkflowProto.WorkflowSnapshot;

/**
 * The queues and their jobs in the replicated state.
 *
 * <p>The highest version of the queues is in force; a lower one changes nothing. Thread-safe: the state and whatever is
 * derived from it are read and changed under the lock of this part.
 */
public final class WorkflowStateMachine implements StatePart {
    /** The clock that waits for the lock are measured with. */
    private final LongSupplier nanoTime;

    /** Told the nanoseconds of each wait for the lock. */
    private final LongConsumer lockWaitRecorder;

    /** Guards the fields below. */
    private final ReentrantLock lock = new ReentrantLock();

    /** The jobs. */
    private WorkflowState jobs = WorkflowState.empty();

    /** The queues in force. */
    private QueueConfiguration queues = QueueConfiguration.NONE;

    /**
     * Returns a part without queues and jobs.
     *
     * @return a new part, never null
     */
    public static WorkflowStateMachine create() {
        return withLockTiming(() -> 0L, waitNanos -> {});
    }

    /**
     * Returns a part without queues and jobs that tells how long others wait for its lock.
     *
     * @param nanoTime the monotonic clock, not null
     * @param lockWaitRecorder told the nanoseconds of each wait, while the lock is held; does not block, not null
     * @return a new part, never null
     */
    public static WorkflowStateMachine withLockTiming(LongSupplier nanoTime, LongConsumer lockWaitRecorder) {
        return new WorkflowStateMachine(nanoTime, lockWaitRecorder);
    }

    private WorkflowStateMachine(LongSupplier nanoTime, LongConsumer lockWaitRecorder) {
        this.nanoTime = nanoTime;
        this.lockWaitRecorder = lockWaitRecorder;
    }

    /** Takes the lock; reads the clock only if it has to wait. */
    private void acquire() {
        if (lock.tryLock()) {
            return;
        }
        long startNanos = nanoTime.getAsLong();
        lock.lock();
        lockWaitRecorder.accept(nanoTime.getAsLong() - startNanos);
    }

    /**
     * Reads the state under its lock.
     *
     * @param reader what to do with the jobs and the queues; it neither blocks nor keeps the jobs, not null
     * @param <T> what is read
     * @return what the reader returned
     */
    public <T> T read(BiFunction<WorkflowState, QueueConfiguration, T> reader) {
        acquire();
        try {
            return reader.apply(jobs, queues);
        } finally {
            lock.unlock();
        }
    }

    @Override
    public SiteResult apply(SiteCommand command) {
        return command.hasQueues() ? replaceQueues(command.getQueues()) : applyToJobs(command);
    }

    private SiteResult replaceQueues(QueueCommand command) {
        QueueConfiguration replacement = QueueCodec.decode(command.getReplace());
        acquire();
        try {
            if (replacement.version() > queues.version()) {
                queues = replacement;
            }
            QueueResult result =
                    QueueResult.newBuilder().setVersionInForce(queues.version()).build();
            return SiteResult.newBuilder().setQueues(result).build();
        } finally {
            lock.unlock();
        }
    }

    private SiteResult applyToJobs(SiteCommand command) {
        CommandResult result =
                read((state, ignored) -> state.apply(WorkflowCommandCodec.decode(command.getWorkflow())));
        return SiteResult.newBuilder()
                .setWorkflow(WorkflowCommandCodec.encode(result))
                .build();
    }

    @Override
    public void save(SiteSnapshot.Builder snapshot) {
        acquire();
        try {
            WorkflowStateSnapshot jobsSnapshot = jobs.snapshot();
            snapshot.setWorkflow(WorkflowSnapshotCodec.encode(jobsSnapshot).setQueues(QueueCodec.encode(queues)));
        } finally {
            lock.unlock();
        }
    }

    @Override
    public void restore(SiteSnapshot snapshot) {
        WorkflowSnapshot saved = snapshot.getWorkflow();
        WorkflowState restored = WorkflowState.from(WorkflowSnapshotCodec.decode(saved));
        QueueConfiguration restoredQueues = QueueCodec.decode(saved.getQueues());
        acquire();
        try {
            jobs = restored;
            queues = restoredQueues;
        } finally {
            lock.unlock();
        }
    }
}
