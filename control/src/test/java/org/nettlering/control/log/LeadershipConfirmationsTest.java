package org.nettlering.control.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.Test;
import org.nettlering.wire.proto.CommandProto.SiteCommand;
import org.nettlering.wire.proto.CommandProto.SiteResult;

class LeadershipConfirmationsTest {
    private final SlowLog log = new SlowLog();
    private final LeadershipConfirmations confirmations = LeadershipConfirmations.of(log);

    @Test
    void callersWhoComeDuringARoundShareTheNextOne() {
        CompletionStage<Void> first = confirmations.confirm();
        CompletionStage<Void> second = confirmations.confirm();
        CompletionStage<Void> third = confirmations.confirm();
        assertThat(log.rounds).hasSize(1);

        log.rounds.get(0).complete(null);
        assertThat(first.toCompletableFuture()).isCompleted();
        assertThat(second.toCompletableFuture()).isNotDone();
        assertThat(log.rounds).hasSize(2);

        log.rounds.get(1).complete(null);
        assertThat(second.toCompletableFuture()).isCompleted();
        assertThat(third.toCompletableFuture()).isCompleted();
    }

    @Test
    void aFailedRoundFailsItsOwnCallersAndTheNextRoundIsTried() {
        CompletionStage<Void> first = confirmations.confirm();
        CompletionStage<Void> second = confirmations.confirm();

        log.rounds.get(0).completeExceptionally(new IllegalStateException("replaced"));
        log.rounds.get(1).complete(null);

        assertThat(first.toCompletableFuture()).isCompletedExceptionally();
        assertThat(second.toCompletableFuture()).isCompleted();
    }

    /** A log whose confirmations end when the test says so. */
    private static final class SlowLog implements CommandLog {
        private final List<CompletableFuture<Void>> rounds = new ArrayList<>();

        @Override
        public CompletionStage<SiteResult> propose(SiteCommand command) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletionStage<Void> confirmLeadership() {
            CompletableFuture<Void> round = new CompletableFuture<>();
            rounds.add(round);
            return round;
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
            return Optional.empty();
        }
    }
}
