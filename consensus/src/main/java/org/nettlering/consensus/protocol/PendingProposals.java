package org.nettlering.consensus.protocol;

import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.nettlering.consensus.LogEntry;

/** The proposals whose entries are not applied yet. Not thread-safe. */
final class PendingProposals {
    private final Outbox outbox;

    /** The proposals by the indexes of their entries. */
    private final TreeMap<Long, Proposal> pending = new TreeMap<>();

    PendingProposals(Outbox outbox) {
        this.outbox = outbox;
    }

    void add(LogEntry entry, CompletableFuture<byte[]> future) {
        pending.put(entry.index(), new Proposal(entry.term(), future));
    }

    void complete(LogEntry entry, byte[] result) {
        Proposal proposal = pending.remove(entry.index());
        if (proposal == null) {
            return;
        }
        if (proposal.term() != entry.term()) {
            throw new IllegalStateException("entry " + entry.index() + " of term " + entry.term()
                    + " was applied in place of a proposal of term " + proposal.term());
        }
        outbox.runOutsideLock(() -> proposal.future().complete(result));
    }

    /** Fails the proposal of an entry that the state machine could not apply. */
    void fail(LogEntry entry, RuntimeException failure) {
        Proposal proposal = pending.remove(entry.index());
        if (proposal != null) {
            outbox.runOutsideLock(() -> proposal.future().completeExceptionally(failure));
        }
    }

    /** Fails the proposals whose entries come after {@code index}. */
    void failAfter(long index, RuntimeException failure) {
        Map<Long, Proposal> failing = pending.tailMap(index, false);
        failing.values()
                .forEach(proposal ->
                        outbox.runOutsideLock(() -> proposal.future().completeExceptionally(failure)));
        failing.clear();
    }

    /** Fails the proposals up to {@code index}; their results are unknown because a snapshot replaced their entries. */
    void failUpTo(long index, RuntimeException failure) {
        Iterator<Proposal> failing = pending.headMap(index, true).values().iterator();
        while (failing.hasNext()) {
            Proposal proposal = failing.next();
            failing.remove();
            outbox.runOutsideLock(() -> proposal.future().completeExceptionally(failure));
        }
    }

    private record Proposal(long term, CompletableFuture<byte[]> future) {}
}
