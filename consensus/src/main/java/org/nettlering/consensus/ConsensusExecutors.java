package org.nettlering.consensus;

import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * The executors of a member.
 *
 * <p>Each executor runs one task at a time, in order.
 *
 * @param disk writes and syncs the log, not null
 * @param apply applies entries and snapshots to the state machine, not null
 * @param background encodes, writes and reads snapshots, not null
 */
public record ConsensusExecutors(Executor disk, Executor apply, Executor background) {
    /** How long {@link #close()} waits for each executor to run its tasks. */
    private static final long CLOSE_TIMEOUT_SECONDS = 30;

    /**
     * Creates executors with one daemon thread each.
     *
     * @param self the member, whose id is part of the thread names, not null
     * @return new executors, never null
     */
    public static ConsensusExecutors create(MemberId self) {
        return new ConsensusExecutors(
                newExecutor(self, "disk"), newExecutor(self, "apply"), newExecutor(self, "snapshot"));
    }

    private static ExecutorService newExecutor(MemberId self, String purpose) {
        return Executors.newSingleThreadExecutor(Thread.ofPlatform()
                .daemon(true)
                .name("consensus-" + purpose + "-" + self)
                .factory());
    }

    /** Shuts the executors down after their submitted tasks have run. */
    void close() {
        close(apply);
        close(background);
        close(disk);
    }

    private static void close(Executor executor) {
        if (!(executor instanceof ExecutorService service)) {
            return;
        }
        service.shutdown();
        try {
            service.awaitTermination(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
