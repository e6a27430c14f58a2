package org.nettlering.domain.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.error.ErrorCode;

class RetryPolicyTest {
    private static final AttemptOutcome NOT_RUN = new AttemptOutcome.NotRun(ErrorCode.CONNECTION_LOST);
    private static final AttemptOutcome UNKNOWN = new AttemptOutcome.Unknown(ErrorCode.UPSTREAM_FAILED);
    private static final Duration REMAINING = Duration.ofSeconds(1);

    private final RetryBudget budget = RetryBudget.create();

    private RetryDecision decide(AttemptOutcome outcome, boolean idempotent, boolean replayable, Duration remaining) {
        AttemptHistory history = AttemptHistory.empty().withAttempt().withOutcome(outcome);
        return RetryPolicy.decide(outcome, new RequestTraits(idempotent, replayable), history, remaining, budget);
    }

    @Test
    void aRequestThatDidNotRunIsRetriedEvenIfNotIdempotent() {
        assertThat(decide(NOT_RUN, false, true, REMAINING)).isInstanceOf(RetryDecision.Retry.class);
    }

    @Test
    void aNonIdempotentRequestThatMayHaveRunIsNotRetried() {
        assertThat(decide(UNKNOWN, false, true, REMAINING))
                .isEqualTo(new RetryDecision.GiveUp(ErrorCode.UPSTREAM_FAILED, RequestOutcome.UNKNOWN));
    }

    @Test
    void aRequestWhoseBodyIsNotReplayableIsNotRetried() {
        assertThat(decide(UNKNOWN, true, false, REMAINING)).isInstanceOf(RetryDecision.GiveUp.class);
    }

    @Test
    void noRetryIsMadeAfterTheDeadline() {
        assertThat(decide(NOT_RUN, true, true, Duration.ZERO))
                .isEqualTo(new RetryDecision.GiveUp(ErrorCode.DEADLINE_EXCEEDED, RequestOutcome.NOT_RUN));
    }

    @Test
    void anUnknownOutcomeIsKeptWhenALaterAttemptDidNotRun() {
        AttemptHistory history = AttemptHistory.empty().withAttempt().withOutcome(UNKNOWN);

        assertThat(history.withAttempt().withOutcome(NOT_RUN).outcome()).isEqualTo(RequestOutcome.UNKNOWN);
    }

    @Test
    void theBudgetLimitsRetriesToAFifthOfTheRequests() {
        int retries = 0;
        for (int request = 0; request < 1_000; request++) {
            budget.deposit();
            while (budget.tryWithdraw()) {
                retries++;
            }
        }

        assertThat(retries).isLessThanOrEqualTo(200);
    }
}
