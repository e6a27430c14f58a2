package org.nettlering.consensus;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.nettlering.consensus.ConsensusListener.WritesRefused;
import org.nettlering.consensus.protocol.DiskWrite;
import org.nettlering.consensus.protocol.Outbox;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/**
 * Performs the writes of a member on the disk executor, one batch at a time.
 *
 * <p>The protocol learns of a batch once one sync has made all of it durable. A batch that the disk refuses, for example because
 * it is full, is tried again for a while; any other failure stops the member. Fields are guarded by the lock of the member.
 */
final class DiskWriter {
    /** How long the disk may refuse a write before the member stops. */
    private static final Duration MAX_REFUSAL = Duration.ofSeconds(30);

    private final ProtocolAccess access;

    private final ConsensusPorts ports;

    private final Outbox outbox;

    /** The time between two attempts to write what the disk refused. */
    private final Duration retryDelay;

    /** Whether the disk executor has a task. */
    private boolean writing;

    DiskWriter(ProtocolAccess access, ConsensusPorts ports, Outbox outbox, Duration retryDelay) {
        this.access = access;
        this.ports = ports;
        this.outbox = outbox;
        this.retryDelay = retryDelay;
    }

    /** Returns whether the disk did not take a write, but may take it later. */
    static boolean isRefusal(Throwable failure) {
        return failure instanceof NettleringException exception && exception.code() == ErrorCode.STORAGE_FULL;
    }

    /** Submits a task if there are writes and none is submitted. Called under the lock. */
    void dispatch() {
        if (!writing && outbox.hasWrites()) {
            writing = true;
            ports.executors().disk().execute(this::writePending);
        }
    }

    private void writePending() {
        List<DiskWrite> writes = new ArrayList<>();
        if (access.run(protocol -> writes.addAll(outbox.takeWrites()))) {
            write(new WriteBatch(writes));
        }
    }

    private void write(WriteBatch batch) {
        try {
            batch.writeTo(ports.storage());
        } catch (Throwable e) {
            if (!isRefusal(e) || batch.isRefusedFor(MAX_REFUSAL, ports.time().nanoTime())) {
                access.stop(e);
                return;
            }
            tryAgainLater(batch, e);
            return;
        }
        access.run(protocol -> {
            writing = false;
            protocol.onWritesDurable(batch.size);
        });
    }

    /** Tries a batch again that the disk refused; until it is written, the member acknowledges nothing that is in it. */
    private void tryAgainLater(WriteBatch batch, Throwable refusal) {
        access.run(protocol -> {
            if (batch.recordRefusal(ports.time().nanoTime())) {
                outbox.runOutsideLock(() -> ports.listener().onEvent(new WritesRefused(refusal)));
            }
            ports.time().schedule(retryDelay, () -> tryAgain(batch));
        });
    }

    private void tryAgain(WriteBatch batch) {
        access.run(protocol -> ports.executors().disk().execute(() -> write(batch)));
    }

    /** Writes that become durable with one sync. Used by one thread at a time. */
    private static final class WriteBatch {
        final int size;

        /** The writes that the storage has not taken yet. */
        private final ArrayDeque<DiskWrite> remaining;

        /** When the disk first refused the batch, by the monotonic clock; null if it has not. */
        private @Nullable Long refusedSinceNanos;

        WriteBatch(List<DiskWrite> writes) {
            size = writes.size();
            remaining = new ArrayDeque<>(writes);
        }

        /** Writes and syncs the batch, or the rest of it if an earlier attempt was refused. */
        void writeTo(LogStorage storage) {
            while (!remaining.isEmpty()) {
                remaining.getFirst().writeTo(storage);
                remaining.removeFirst();
            }
            storage.sync();
        }

        /** Records that the disk refused the batch; returns whether for the first time. */
        boolean recordRefusal(long nowNanos) {
            if (refusedSinceNanos != null) {
                return false;
            }
            refusedSinceNanos = nowNanos;
            return true;
        }

        boolean isRefusedFor(Duration limit, long nowNanos) {
            return refusedSinceNanos != null && nowNanos - refusedSinceNanos >= limit.toNanos();
        }
    }
}
