package org.nettlering.domain.ledger;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

class LedgerStateTest {
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final KeptAnswer ANSWER = KeptAnswer.of(200, List.of(new AnswerHeader("a", "b")), new byte[] {1, 2});

    private final LedgerState ledger = LedgerState.withMaximumKeys(3);

    private static Reservation reservation(String key, String attempt, Instant time) {
        return new Reservation(new LedgerKey("letters", key), "00", "entry-1", attempt, time, Duration.ofSeconds(10));
    }

    private LedgerReply reserve(String key, String attempt, Instant time) {
        return ledger.reserve(reservation(key, attempt, time));
    }

    private LedgerReply complete(String key, String attempt, KeyOutcome outcome) {
        KeptAnswer answer = outcome == KeyOutcome.ANSWERED ? ANSWER : null;
        return ledger.complete(new LedgerKey("letters", key), attempt, outcome, answer, START);
    }

    @Test
    void aKeyBelongsToTheFirstAttemptOnly() {
        assertThat(reserve("k", "one", START)).isInstanceOf(LedgerReply.Reserved.class);
        assertThat(reserve("k", "two", START)).isInstanceOf(LedgerReply.InFlight.class);
    }

    @Test
    void theHolderMayRepeatItsReservation() {
        reserve("k", "one", START);

        assertThat(reserve("k", "one", START)).isInstanceOf(LedgerReply.Reserved.class);
    }

    @Test
    void aResendGetsTheKeptAnswer() {
        reserve("k", "one", START);
        complete("k", "one", KeyOutcome.ANSWERED);

        assertThat(reserve("k", "two", START)).isEqualTo(new LedgerReply.Kept(ANSWER));
    }

    @Test
    void onlyTheHolderCompletesAKey() {
        reserve("k", "one", START);

        assertThat(complete("k", "two", KeyOutcome.NOT_RUN)).isInstanceOf(LedgerReply.InFlight.class);
    }

    @Test
    void anOutcomeIsStoredOnce() {
        reserve("k", "one", START);
        complete("k", "one", KeyOutcome.UNKNOWN);
        complete("k", "one", KeyOutcome.NOT_RUN);

        assertThat(reserve("k", "two", START)).isInstanceOf(LedgerReply.Unknown.class);
    }

    @Test
    void anAttemptWhoseTimeHasPassedIsUnknownAndNeverFreed() {
        reserve("k", "one", START);

        assertThat(reserve("k", "two", START.plusSeconds(11))).isInstanceOf(LedgerReply.Unknown.class);
    }

    @Test
    void aRequestThatWasNotRunFreesItsKey() {
        reserve("k", "one", START);
        complete("k", "one", KeyOutcome.NOT_RUN);

        assertThat(reserve("k", "two", START)).isInstanceOf(LedgerReply.Reserved.class);
    }

    @Test
    void aFullLedgerRefusesInPlaceOfForgettingYoungKeys() {
        reserve("a", "one", START);
        reserve("b", "one", START);
        reserve("c", "one", START);

        assertThat(reserve("d", "one", START.plus(Duration.ofMinutes(59)))).isInstanceOf(LedgerReply.Full.class);
        assertThat(reserve("d", "one", START.plus(Duration.ofMinutes(61)))).isInstanceOf(LedgerReply.Reserved.class);
    }

    @Test
    void aTimeOrderedKeyFromBeforeTheHorizonIsUnknown() {
        String old = "0194207e-7000-7000-8000-000000000000";
        reserve("a", "one", START);
        reserve("b", "one", START.plus(Duration.ofHours(25)));

        assertThat(reserve(old, "one", START.plus(Duration.ofHours(25)))).isInstanceOf(LedgerReply.Unknown.class);
        assertThat(reserve("a", "two", START.plus(Duration.ofHours(25)))).isInstanceOf(LedgerReply.Reserved.class);
    }

    @Test
    void aRestoredLedgerGivesTheSameReplies() {
        reserve("k", "one", START);
        complete("k", "one", KeyOutcome.ANSWERED);
        reserve("l", "one", START);
        LedgerState restored = LedgerState.withMaximumKeys(3);

        restored.restore(ledger.snapshot());

        assertThat(restored.reserve(reservation("k", "two", START))).isEqualTo(new LedgerReply.Kept(ANSWER));
        assertThat(restored.reserve(reservation("l", "two", START))).isInstanceOf(LedgerReply.InFlight.class);
        assertThat(restored.snapshot()).isEqualTo(ledger.snapshot());
    }

    @Test
    void noKeyIsReservedTwiceInTwoHundredSeedsAgainstANaiveModel() {
        for (long seed = 0; seed < 200; seed++) {
            compareWithNaiveModel(new Random(seed), seed);
        }
    }

    /** The naive model: a map from key to the attempt that holds it, without bounds or time. */
    private static void compareWithNaiveModel(Random random, long seed) {
        LedgerState state = LedgerState.create();
        Map<String, String> holders = new HashMap<>();
        for (int step = 0; step < 200; step++) {
            String key = "k" + random.nextInt(5);
            String attempt = "a" + random.nextInt(4);
            if (random.nextBoolean()) {
                boolean reserved = state.reserve(reservation(key, attempt, START)) instanceof LedgerReply.Reserved;
                String holder = holders.putIfAbsent(key, attempt);
                boolean expected = holder == null || holder.equals(attempt);
                assertThat(reserved).as("seed %d step %d", seed, step).isEqualTo(expected);
            } else if (random.nextBoolean() && attempt.equals(holders.get(key))) {
                state.complete(new LedgerKey("letters", key), attempt, KeyOutcome.NOT_RUN, null, START);
                holders.remove(key);
            } else {
                state.complete(new LedgerKey("letters", key), "stranger", KeyOutcome.NOT_RUN, null, START);
            }
        }
    }
}
