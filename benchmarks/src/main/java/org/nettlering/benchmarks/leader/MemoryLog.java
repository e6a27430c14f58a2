package org.nettlering.benchmarks.leader;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.nettlering.control.log.CommandLog;
import org.nettlering.control.workflow.WorkflowStateMachine;
import org.nettlering.domain.time.ManualTime;
import org.nettlering.wire.proto.CommandProto.SiteCommand;
import org.nettlering.wire.proto.CommandProto.SiteResult;

/** A log of one member that commits a while after a proposal, in order. Not thread-safe. */
final class MemoryLog implements CommandLog {
    /** How long a commit takes: a sync of the disk and a round of messages. */
    private static final Duration COMMIT = Duration.ofMillis(5);

    private final ManualTime time;
    private final WorkflowStateMachine part;
    private final StageClock clock;

    MemoryLog(ManualTime time, WorkflowStateMachine part, StageClock clock) {
        this.time = time;
        this.part = part;
        this.clock = clock;
    }

    @Override
    public CompletionStage<SiteResult> propose(SiteCommand command) {
        clock.enter(Stage.MODEL);
        CompletableFuture<SiteResult> done = new CompletableFuture<>();
        time.schedule(COMMIT, () -> {
            clock.enter(Stage.APPLIED);
            SiteResult result = part.apply(command);
            clock.leave();
            clock.run(Stage.LOOP, () -> done.complete(result));
        });
        clock.leave();
        return done;
    }

    @Override
    public CompletionStage<Void> confirmLeadership() {
        return CompletableFuture.completedStage(null);
    }

    @Override
    public boolean isReadyLeader() {
        return true;
    }

    @Override
    public boolean hasAppliedWholeLog() {
        return true;
    }

    @Override
    public long term() {
        return 1;
    }

    @Override
    public Optional<String> leaderId() {
        return Optional.of("m1");
    }
}
