package org.nettlering.control.workflow;

import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * The latest command of one kind for one run.
 *
 * <p>For logs only. Immutable and thread-safe.
 *
 * @param sentNanos when the command was sent, by the monotonic clock
 * @param outcome the label of the outcome, or null while there is none
 * @param finishedNanos when the outcome was known, by the monotonic clock; meaningful only if there is one
 */
record CommandTrace(long sentNanos, @Nullable String outcome, long finishedNanos) {
    static CommandTrace sentAt(long nanos) {
        return new CommandTrace(nanos, null, 0);
    }

    CommandTrace finished(String label, long nanos) {
        return new CommandTrace(sentNanos, label, nanos);
    }

    /** Returns a text for the log; a missing trace means that no command was sent. */
    static String describe(@Nullable CommandTrace trace, long nowNanos) {
        if (trace == null) {
            return "not sent";
        }
        String sent = "sent " + TimeUnit.NANOSECONDS.toMillis(nowNanos - trace.sentNanos) + " ms ago";
        return trace.outcome == null
                ? sent + " without an outcome yet"
                : sent + ", " + trace.outcome + " after "
                        + TimeUnit.NANOSECONDS.toMillis(trace.finishedNanos - trace.sentNanos) + " ms";
    }
}
