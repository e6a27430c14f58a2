package org.nettlering.control.workflow;

import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.time.TimeSource;

/**
 * When the parts of the workflow loop last did something.
 *
 * <p>For logs and metrics only. Takes no lock, so that it can be read whatever the loop waits for. Thread-safe; each part is
 * recorded by one thread at a time.
 */
final class LoopActivity {
    /** The number of stack frames that describe what a thread does. */
    private static final int FRAMES = 12;

    private final TimeSource time;

    private volatile long tickNanos;

    private volatile @Nullable Thread tickThread;

    private volatile long iterationNanos;

    private volatile @Nullable Thread iterationThread;

    private volatile @Nullable BatchInFlight batch;

    /** The term that this member leads, or zero if it does not lead. */
    private volatile long leadingTerm;

    private volatile long leadingSinceNanos;

    static LoopActivity create(TimeSource time) {
        return new LoopActivity(time);
    }

    private LoopActivity(TimeSource time) {
        this.time = time;
        tickNanos = time.nanoTime();
        iterationNanos = tickNanos;
        leadingSinceNanos = tickNanos;
    }

    /**
     * A batch whose outcome is not known yet.
     *
     * @param commands the number of its commands
     * @param proposedNanos when it was proposed, by the monotonic clock
     */
    record BatchInFlight(int commands, long proposedNanos) {}

    /** Returns the term that this member leads, or zero if it did not lead when that was last recorded. */
    long leadingTerm() {
        return leadingTerm;
    }

    /** Returns when the latest tick began, by the monotonic clock. */
    long tickNanos() {
        return tickNanos;
    }

    /** Returns when the latest iteration ended or this member began to lead, by the monotonic clock. */
    long iterationNanos() {
        long iteration = iterationNanos;
        long leading = leadingSinceNanos;
        return iteration - leading > 0 ? iteration : leading;
    }

    @Nullable
    BatchInFlight batchInFlight() {
        return batch;
    }

    /** Returns for how long a batch has been in flight, in nanoseconds, zero if there is none. */
    long batchAgeNanos() {
        BatchInFlight current = batch;
        return current == null ? 0 : time.nanoTime() - current.proposedNanos;
    }

    /** Returns what the threads of the loop do now, for logs. */
    String describeThreads() {
        return "iteration: " + describe(iterationThread) + "; tick: " + describe(tickThread);
    }

    private static String describe(@Nullable Thread thread) {
        if (thread == null) {
            return "none in progress";
        }
        List<String> frames = Arrays.stream(thread.getStackTrace())
                .limit(FRAMES)
                .map(frame ->
                        frame.getClassName().substring(frame.getClassName().lastIndexOf('.') + 1) + "."
                                + frame.getMethodName() + ":" + frame.getLineNumber())
                .toList();
        return "in progress in " + thread.getName() + " (" + thread.getState() + ") at " + String.join(" < ", frames);
    }

    void leads(long term) {
        if (leadingTerm != term) {
            leadingSinceNanos = time.nanoTime();
            leadingTerm = term;
        }
    }

    void doesNotLead() {
        leadingTerm = 0;
        batch = null;
    }

    void tickStarted() {
        tickNanos = time.nanoTime();
        tickThread = Thread.currentThread();
    }

    void tickEnded() {
        tickThread = null;
    }

    void iterationStarted() {
        iterationThread = Thread.currentThread();
    }

    void iterationEnded() {
        iterationThread = null;
        iterationNanos = time.nanoTime();
    }

    void batchProposed(int commands) {
        batch = new BatchInFlight(commands, time.nanoTime());
    }

    void batchFinished() {
        batch = null;
    }

    /** Returns a monotonic age in milliseconds. */
    static long ageMillis(long sinceNanos, long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - sinceNanos);
    }
}
