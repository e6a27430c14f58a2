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
    private static final StoredResponse RESPONSE =
            StoredResponse.of(200, List.of(new StoredHeader("a", "b")), new byte[] {1, 2});

    private final LedgerState ledger = LedgerState.withMaximumKeys(3);

    private static Reservation reservation(String key, String attempt, Instant time) {
        return new Reservation(new LedgerKey("letters", key), "00", "entry-1", attempt, time, Duration.ofSeconds(10));
    }

    private LedgerResult reserve(String key, String attempt, Instant time) {
        return ledger.reserve(reservation(key, attempt, time));
    }

    private LedgerResult complete(String key, String attempt, KeyOutcome outcome) {
        StoredResponse response = outcome == KeyOutcome.RESPONDED ? RESPONSE : null;
        return ledger.complete(new LedgerKey("letters", key), attempt, outcome, response, START);
    }

    @Test
    void aKeyIsReservedByTheFirstAttemptOnly() {
        assertThat(reserve("k", "one", START)).isInstanceOf(LedgerResult.Reserved.class);
        assertThat(reserve("k", "two", START)).isInstanceOf(LedgerResult.InFlight.class);
    }

    @Test
    void theHolderCanRepeatItsReservation() {
        reserve("k", "one", START);

        assertThat(reserve("k", "one", START)).isInstanceOf(LedgerResult.Reserved.class);
    }

    @Test
    void aRepeatedRequestGetsTheStoredResponse() {
        reserve("k", "one", START);
        complete("k", "one", KeyOutcome.RESPONDED);

        assertThat(reserve("k", "two", START)).isEqualTo(new LedgerResult.Completed(RESPONSE));
    }

    @Test
    void onlyTheHolderCanCompleteAKey() {
        reserve("k", "one", START);

        assertThat(complete("k", "two", KeyOutcome.NOT_RUN)).isInstanceOf(LedgerResult.InFlight.class);
    }

    @Test
    void anOutcomeIsStoredOnce() {
        reserve("k", "one", START);
        complete("k", "one", KeyOutcome.UNKNOWN);
        complete("k", "one", KeyOutcome.NOT_RUN);

        assertThat(reserve("k", "two", START)).isInstanceOf(LedgerResult.Unknown.class);
    }

    @Test
    void theOutcomeIsUnknownAfterTheAttemptTimedOut() {
        reserve("k", "one", START);

        assertThat(reserve("k", "two", START.plusSeconds(11))).isInstanceOf(LedgerResult.Unknown.class);
    }

    @Test
    void aKeyIsReleasedWhenTheRequestDidNotRun() {
        reserve("k", "one", START);
        complete("k", "one", KeyOutcome.NOT_RUN);

        assertThat(reserve("k", "two", START)).isInstanceOf(LedgerResult.Reserved.class);
    }

    @Test
    void aFullLedgerRejectsNewKeysUntilTheOldestReachesTheMinimumRetention() {
        reserve("a", "one", START);
        reserve("b", "one", START);
        reserve("c", "one", START);

        assertThat(reserve("d", "one", START.plus(Duration.ofMinutes(59)))).isInstanceOf(LedgerResult.Full.class);
        assertThat(reserve("d", "one", START.plus(Duration.ofMinutes(61)))).isInstanceOf(LedgerResult.Reserved.class);
    }

    @Test
    void aVersion7KeyFromBeforeTheHorizonIsUnknown() {
        String keyFromBeforeHorizon = "0194207e-7000-7000-8000-000000000000";
        reserve("a", "one", START);
        reserve("b", "one", START.plus(Duration.ofHours(25)));

        assertThat(reserve(keyFromBeforeHorizon, "one", START.plus(Duration.ofHours(25))))
                .isInstanceOf(LedgerResult.Unknown.class);
        assertThat(reserve("a", "two", START.plus(Duration.ofHours(25)))).isInstanceOf(LedgerResult.Reserved.class);
    }

    @Test
    void aRestoredLedgerReturnsTheSameResults() {
        reserve("k", "one", START);
        complete("k", "one", KeyOutcome.RESPONDED);
        reserve("l", "one", START);
        LedgerState restored = LedgerState.withMaximumKeys(3);

        restored.restore(ledger.snapshot());

        assertThat(restored.reserve(reservation("k", "two", START))).isEqualTo(new LedgerResult.Completed(RESPONSE));
        assertThat(restored.reserve(reservation("l", "two", START))).isInstanceOf(LedgerResult.InFlight.class);
        assertThat(restored.snapshot()).isEqualTo(ledger.snapshot());
    }

    @Test
    void noKeyIsReservedTwiceUnderRandomCommands() {
        for (long seed = 0; seed < 200; seed++) {
            compareWithReferenceModel(new Random(seed), seed);
        }
    }

    /** The reference model maps each key to the attempt that holds it, without limits or time. */
    private static void compareWithReferenceModel(Random random, long seed) {
        LedgerState state = LedgerState.create();
        Map<String, String> holders = new HashMap<>();
        for (int step = 0; step < 200; step++) {
            String key = "k" + random.nextInt(5);
            String attempt = "a" + random.nextInt(4);
            if (random.nextBoolean()) {
                boolean reserved = state.reserve(reservation(key, attempt, START)) instanceof LedgerResult.Reserved;
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
