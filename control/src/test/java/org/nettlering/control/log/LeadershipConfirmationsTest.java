package org.nettlering.control.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.time.ManualTime;
import org.nettlering.wire.proto.CommandProto.SiteCommand;
import org.nettlering.wire.proto.CommandProto.SiteResult;

class LeadershipConfirmationsTest {
    private static final Duration INTERVAL = Duration.ofMillis(20);

    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);
    private final SlowLog log = new SlowLog();
    private final LeadershipConfirmations confirmations = LeadershipConfirmations.of(log, time, Duration.ZERO);

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

    @Test
    void aStreamOfCallersCausesOneRoundPerInterval() {
        LeadershipConfirmations paced = LeadershipConfirmations.of(log, time, INTERVAL);
        for (int millis = 0; millis < 200; millis++) {
            paced.confirm();
            log.rounds.forEach(round -> round.complete(null));
            time.advance(Duration.ofMillis(1));
        }
        assertThat(log.rounds).hasSize(10);
    }

    @Test
    void aCallerAfterAPauseDoesNotWait() {
        LeadershipConfirmations paced = LeadershipConfirmations.of(log, time, INTERVAL);
        paced.confirm();
        log.rounds.getFirst().complete(null);
        time.advance(INTERVAL);
        paced.confirm();
        assertThat(log.rounds).hasSize(2);
    }

    @Test
    void aCallerWithinTheIntervalIsNotServedByTheRoundBeforeIt() {
        LeadershipConfirmations paced = LeadershipConfirmations.of(log, time, INTERVAL);
        paced.confirm();
        log.rounds.getFirst().complete(null);
        CompletionStage<Void> second = paced.confirm();
        assertThat(second.toCompletableFuture()).isNotDone();
        time.advance(INTERVAL);
        log.rounds.getLast().complete(null);
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
