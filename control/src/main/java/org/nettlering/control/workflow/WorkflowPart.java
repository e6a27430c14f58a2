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
public final class WorkflowPart implements StatePart {
    /** The clock that waits for the lock are measured with. */
    private final LongSupplier nanoTime;

    /** Told the nanoseconds of each wait for the lock. */
    private final LongConsumer lockWaits;

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
    public static WorkflowPart create() {
        return timed(() -> 0L, waited -> {});
    }

    /**
     * Returns a part without queues and jobs that tells how long others wait for its lock.
     *
     * @param nanoTime the monotonic clock, not null
     * @param lockWaits told the nanoseconds of each wait, while the lock is held; does not block, not null
     * @return a new part, never null
     */
    public static WorkflowPart timed(LongSupplier nanoTime, LongConsumer lockWaits) {
        return new WorkflowPart(nanoTime, lockWaits);
    }

    private WorkflowPart(LongSupplier nanoTime, LongConsumer lockWaits) {
        this.nanoTime = nanoTime;
        this.lockWaits = lockWaits;
    }

    /** Takes the lock; reads the clock only if it has to wait. */
    private void acquire() {
        if (lock.tryLock()) {
            return;
        }
        long begunNanos = nanoTime.getAsLong();
        lock.lock();
        lockWaits.accept(nanoTime.getAsLong() - begunNanos);
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
        return command.hasQueues() ? replaceQueues(command.getQueues()) : changeJobs(command);
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

    private SiteResult changeJobs(SiteCommand command) {
        CommandResult outcome =
                read((state, ignored) -> state.apply(WorkflowCommandCodec.decode(command.getWorkflow())));
        return SiteResult.newBuilder()
                .setWorkflow(WorkflowCommandCodec.encode(outcome))
                .build();
    }

    @Override
    public void save(SiteSnapshot.Builder snapshot) {
        acquire();
        try {
            WorkflowStateSnapshot image = jobs.snapshot();
            snapshot.setWorkflow(WorkflowSnapshotCodec.encode(image).setQueues(QueueCodec.encode(queues)));
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
