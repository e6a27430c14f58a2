package org.nettlering.control.workflow;

import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BiFunction;
import org.nettlering.control.log.StatePart;
import org.nettlering.domain.queue.QueueConfiguration;
import org.nettlering.domain.workflow.WorkflowImage;
import org.nettlering.domain.workflow.WorkflowOutcome;
import org.nettlering.domain.workflow.WorkflowState;
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
        return new WorkflowPart();
    }

    private WorkflowPart() {}

    /**
     * Reads the state under its lock.
     *
     * @param reader what to do with the jobs and the queues; it neither blocks nor keeps the jobs, not null
     * @param <T> what is read
     * @return what the reader returned
     */
    public <T> T read(BiFunction<WorkflowState, QueueConfiguration, T> reader) {
        lock.lock();
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
        lock.lock();
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
        WorkflowOutcome outcome =
                read((state, ignored) -> state.apply(WorkflowCommandCodec.decode(command.getWorkflow())));
        return SiteResult.newBuilder()
                .setWorkflow(WorkflowCommandCodec.encode(outcome))
                .build();
    }

    @Override
    public void save(SiteSnapshot.Builder snapshot) {
        lock.lock();
        try {
            WorkflowImage image = jobs.image();
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
        lock.lock();
        try {
            jobs = restored;
            queues = restoredQueues;
        } finally {
            lock.unlock();
        }
    }
}
