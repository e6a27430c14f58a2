package org.nettlering.control.workflow;

import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BiFunction;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.nettlering.control.log.StatePart;
import org.nettlering.domain.queue.QueueConfiguration;
import org.nettlering.domain.workflow.CommandResult;
import org.nettlering.domain.workflow.Evacuations;
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
 * The part of the replicated state that holds the queue configuration and the jobs.
 *
 * <p>A queue configuration takes effect only if its version is higher than the current one. Thread-safe: the state, and the
 * unreplicated state of the leader that {@link WorkflowLoop} derives from it, are read and changed under the lock of this
 * object.
 */
public final class WorkflowStateMachine implements StatePart {
    private static final int FORMAT_WITH_EVACUATIONS = 2;

    private final LongSupplier nanoTime;

    /** Receives the duration of each wait for the lock, in nanoseconds; not called if the lock is free. */
    private final LongConsumer lockWaitRecorder;

    /** Guards the fields below. */
    private final ReentrantLock lock = new ReentrantLock();

    private WorkflowState jobs = WorkflowState.empty();

    private QueueConfiguration queues = QueueConfiguration.NONE;

    /**
     * Creates a state machine without queues and jobs.
     *
     * @return a new state machine, never null
     */
    public static WorkflowStateMachine create() {
        return withLockTiming(() -> 0L, waitNanos -> {});
    }

    /**
     * Creates a state machine without queues and jobs that measures waits for its lock.
     *
     * @param nanoTime the monotonic clock, not null
     * @param lockWaitRecorder receives the duration of each wait in nanoseconds, called by the waiting thread once it holds
     *     the lock; must not block, not null
     * @return a new state machine, never null
     */
    public static WorkflowStateMachine withLockTiming(LongSupplier nanoTime, LongConsumer lockWaitRecorder) {
        return new WorkflowStateMachine(nanoTime, lockWaitRecorder);
    }

    private WorkflowStateMachine(LongSupplier nanoTime, LongConsumer lockWaitRecorder) {
        this.nanoTime = nanoTime;
        this.lockWaitRecorder = lockWaitRecorder;
    }

    /** Acquires the lock; reads the clock only if the lock is held by another thread. */
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
     * @param reader receives the jobs and the queues; must neither block nor retain the jobs, which are mutable,
     *     not null
     * @param <T> the type of the result
     * @return the result of the reader
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

    /** Applies a command under the lock, which {@link #read} acquires; the command changes the jobs. */
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
    public int requiredFormat() {
        return read((state, ignored) -> state.evacuations().equals(Evacuations.NONE) ? 1 : FORMAT_WITH_EVACUATIONS);
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
