package org.nettlering.entry.lifecycle;

import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jspecify.annotations.Nullable;

/**
 * Whether the load balancer should send requests to this entry.
 *
 * <p>An entry is ready if it has started, is not shutting down, and all conditions are met. Thread-safe.
 */
public final class Readiness {
    private final List<Condition> conditions;

    /** True once the servers are listening. */
    private final AtomicBoolean started = new AtomicBoolean();

    /** True once shutdown was requested. */
    private final AtomicBoolean stopping = new AtomicBoolean();

    /**
     * Creates the readiness of an entry that has not started.
     *
     * @param conditions the conditions of readiness, not null
     * @return a new readiness, never null
     */
    public static Readiness of(List<Condition> conditions) {
        return new Readiness(conditions);
    }

    private Readiness(List<Condition> conditions) {
        this.conditions = List.copyOf(conditions);
    }

    /**
     * Returns whether the entry is ready for requests.
     *
     * @return true if it is ready
     */
    public boolean isReady() {
        return reason().equals("ready");
    }

    /**
     * Returns whether shutdown was requested.
     *
     * @return true from then on
     */
    public boolean isStopping() {
        return stopping.get();
    }

    /**
     * Returns the first reason why the entry is not ready.
     *
     * @return the reason, or {@code ready}, never null
     */
    public String reason() {
        if (stopping.get()) {
            return "stopping";
        }
        if (!started.get()) {
            return "starting";
        }
        for (Condition condition : conditions) {
            String unmetReason = condition.unmetReason();
            if (unmetReason != null) {
                return unmetReason;
            }
        }
        return "ready";
    }

    /** Records that the servers are listening. */
    public void markStarted() {
        started.set(true);
    }

    /** Records that shutdown was requested. */
    public void markStopping() {
        stopping.set(true);
    }

    /** A condition of readiness. Implementations are thread-safe. */
    @FunctionalInterface
    public interface Condition {
        /**
         * Returns why the condition is not met.
         *
         * @return the reason, or null if the condition is met
         */
        @Nullable
        String unmetReason();
    }
}
