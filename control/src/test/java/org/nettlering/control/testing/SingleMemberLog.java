package org.nettlering.control.testing;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.nettlering.consensus.ReplicatedStateMachine;
import org.nettlering.control.log.CommandLog;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.wire.proto.CommandProto.SiteCommand;
import org.nettlering.wire.proto.CommandProto.SiteResult;

/** A log that commits and applies each command at once, as a group of one member would. */
public final class SingleMemberLog implements CommandLog {
    private final ReplicatedStateMachine machine;
    private final List<byte[]> entries = new ArrayList<>();
    private boolean leading = true;
    private boolean wholeLogApplied = true;

    public SingleMemberLog(ReplicatedStateMachine machine) {
        this.machine = machine;
    }

    /** Applies everything that was committed to another member's state machine. */
    public void replayInto(ReplicatedStateMachine other) {
        for (int index = 0; index < entries.size(); index++) {
            other.apply(index + 1L, entries.get(index));
        }
    }

    public int size() {
        return entries.size();
    }

    /** Receives an entry from a leader that dies before this member learns whether it was committed. */
    public void holdAnUnappliedEntry() {
        wholeLogApplied = false;
    }

    public void loseLeadership() {
        leading = false;
    }

    @Override
    public CompletionStage<SiteResult> propose(SiteCommand command) {
        byte[] encoded = command.toByteArray();
        entries.add(encoded);
        try {
            return CompletableFuture.completedStage(SiteResult.parseFrom(machine.apply(entries.size(), encoded)));
        } catch (InvalidProtocolBufferException exception) {
            return CompletableFuture.failedStage(exception);
        }
    }

    @Override
    public CompletionStage<Void> confirmLeadership() {
        return leading
                ? CompletableFuture.completedStage(null)
                : CompletableFuture.failedStage(new NettleringException(ErrorCode.NOT_LEADER, "not the leader"));
    }

    @Override
    public boolean isReadyLeader() {
        return leading;
    }

    @Override
    public boolean hasAppliedWholeLog() {
        return wholeLogApplied;
    }

    @Override
    public long term() {
        return 1;
    }

    @Override
    public Optional<String> leaderId() {
        return Optional.empty();
    }
}
