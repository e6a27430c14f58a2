package org.nettlering.control.task;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.nettlering.control.log.CommandLog;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.wire.proto.CommandProto.SiteCommand;
import org.nettlering.wire.proto.CommandProto.SiteResult;

/** A log of one member that applies at once. */
final class DirectLog implements CommandLog {
    private final TaskPart part;
    private boolean leading = true;
    private boolean confirming = true;
    private long term = 1;

    DirectLog(TaskPart part) {
        this.part = part;
    }

    void lead(boolean leads) {
        leading = leads;
        term++;
    }

    void confirm(boolean confirms) {
        confirming = confirms;
    }

    @Override
    public CompletionStage<SiteResult> propose(SiteCommand command) {
        return CompletableFuture.completedFuture(part.apply(command));
    }

    @Override
    public CompletionStage<Void> confirmLeadership() {
        return confirming
                ? CompletableFuture.completedFuture(null)
                : CompletableFuture.failedFuture(new NettleringException(ErrorCode.NOT_LEADER, "replaced"));
    }

    @Override
    public boolean hasAppliedWholeLog() {
        return true;
    }

    @Override
    public boolean isReadyLeader() {
        return leading;
    }

    @Override
    public long term() {
        return term;
    }

    @Override
    public Optional<String> leaderId() {
        return Optional.of("control-1");
    }
}
