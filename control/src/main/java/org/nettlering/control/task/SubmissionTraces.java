package org.nettlering.control.task;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.locks.ReentrantLock;
import org.nettlering.domain.worker.WorkerCommand;

/**
 * The trace contexts of recent submissions, which the commands for workers carry on.
 *
 * <p>Bounded and lost with the process: a trace is a help, not a promise. Thread-safe.
 */
final class SubmissionTraces {
    /** How many contexts are kept. */
    private static final int CAPACITY = 4_096;

    /** Guards the contexts. */
    private final ReentrantLock lock = new ReentrantLock();

    /** W3C trace contexts by job, the oldest first. */
    private final Map<String, String> contexts = new LinkedHashMap<>();

    void put(String jobId, String traceparent) {
        if (traceparent.isEmpty()) {
            return;
        }
        lock.lock();
        try {
            contexts.put(jobId, traceparent);
            if (contexts.size() > CAPACITY) {
                contexts.remove(contexts.keySet().iterator().next());
            }
        } finally {
            lock.unlock();
        }
    }

    String of(WorkerCommand command) {
        String jobId = jobId(command);
        lock.lock();
        try {
            return contexts.getOrDefault(jobId, "");
        } finally {
            lock.unlock();
        }
    }

    private static String jobId(WorkerCommand command) {
        return switch (command) {
            case WorkerCommand.Start start -> start.job().jobId();
            case WorkerCommand.Checkpoint checkpoint -> checkpoint.jobId();
            case WorkerCommand.Throttle throttle -> throttle.jobId();
            case WorkerCommand.Stop stop -> stop.jobId();
            case WorkerCommand.Acknowledge acknowledge -> acknowledge.jobId();
        };
    }
}
