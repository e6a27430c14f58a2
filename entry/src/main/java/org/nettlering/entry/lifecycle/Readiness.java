package org.nettlering.entry.lifecycle;

import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jspecify.annotations.Nullable;

/**
 * Whether the entry should get requests from the balancer.
 *
 * <p>Ready when it has started, is not stopping, and every condition holds. Thread-safe.
 */
public final class Readiness {
    /** What has to hold. */
    private final List<Condition> conditions;

    /** True once the servers listen. */
    private final AtomicBoolean started = new AtomicBoolean();

    /** True once the process was told to stop. */
    private final AtomicBoolean stopping = new AtomicBoolean();

    /**
     * Creates a readiness that has not started.
     *
     * @param conditions what has to hold, not null
     * @return a new readiness, never null
     */
    public static Readiness of(List<Condition> conditions) {
        return new Readiness(conditions);
    }

    private Readiness(List<Condition> conditions) {
        this.conditions = List.copyOf(conditions);
    }

    /**
     * Tells whether the entry should get requests.
     *
     * @return true when it is ready
     */
    public boolean isReady() {
        return reason().equals("ready");
    }

    /**
     * Tells whether the process was told to stop.
     *
     * @return true from then on
     */
    public boolean isStopping() {
        return stopping.get();
    }

    /**
     * Returns why the entry is not ready.
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

    /** Notes that the servers listen. */
    public void markStarted() {
        started.set(true);
    }

    /** Notes that the process was told to stop. */
    public void markStopping() {
        stopping.set(true);
    }

    /** One thing that has to hold. Implementations are thread-safe. */
    @FunctionalInterface
    public interface Condition {
        /**
         * Returns what is wrong.
         *
         * @return the fault, or null when the condition holds
         */
        @Nullable
        String unmetReason();
    }
}
