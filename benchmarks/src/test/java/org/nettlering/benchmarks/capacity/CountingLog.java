package org.nettlering.benchmarks.capacity;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.nettlering.control.log.CommandLog;
import org.nettlering.control.log.StatePart;
import org.nettlering.wire.proto.CommandProto.SiteCommand;
import org.nettlering.wire.proto.CommandProto.SiteResult;

/** A log of one member that applies at once and counts its records and their bytes. */
final class CountingLog implements CommandLog {
    private final StatePart part;
    private int records;
    private long bytes;

    CountingLog(StatePart part) {
        this.part = part;
    }

    int records() {
        return records;
    }

    long bytes() {
        return bytes;
    }

    @Override
    public CompletionStage<SiteResult> propose(SiteCommand command) {
        records++;
        bytes += command.getSerializedSize();
        return CompletableFuture.completedFuture(part.apply(command));
    }

    @Override
    public CompletionStage<Void> confirmLeadership() {
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public boolean hasAppliedWholeLog() {
        return true;
    }

    @Override
    public boolean isReadyLeader() {
        return true;
    }

    @Override
    public long term() {
        return 1;
    }

    @Override
    public Optional<String> leaderId() {
        return Optional.of("control-1");
    }
}
