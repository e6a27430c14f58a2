package org.nettlering.domain.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.error.ErrorCode;

class RetryPolicyTest {
    private static final AttemptOutcome NOT_RUN = new AttemptOutcome.NotRun(ErrorCode.CONNECTION_LOST);
    private static final AttemptOutcome UNKNOWN = new AttemptOutcome.Unknown(ErrorCode.UPSTREAM_FAILED);
    private static final Duration TIME_LEFT = Duration.ofSeconds(1);

    private final RetryBudget budget = RetryBudget.create();

    private RetryDecision decide(AttemptOutcome outcome, boolean idempotent, boolean replayable, Duration left) {
        AttemptHistory history = AttemptHistory.none().plusAttempt().plusOutcome(outcome);
        return RetryPolicy.decide(outcome, new RequestTraits(idempotent, replayable), history, left, budget);
    }

    @Test
    void aRequestThatCertainlyDidNotRunIsTriedAgainEvenIfNotIdempotent() {
        assertThat(decide(NOT_RUN, false, true, TIME_LEFT)).isInstanceOf(RetryDecision.Retry.class);
    }

    @Test
    void aNonIdempotentRequestThatMayHaveRunIsGivenUpAsUnknown() {
        assertThat(decide(UNKNOWN, false, true, TIME_LEFT))
                .isEqualTo(new RetryDecision.GiveUp(ErrorCode.UPSTREAM_FAILED, RequestOutcome.UNKNOWN));
    }

    @Test
    void aBodyThatIsNoLongerAtHandIsNotSentAgain() {
        assertThat(decide(UNKNOWN, true, false, TIME_LEFT)).isInstanceOf(RetryDecision.GiveUp.class);
    }

    @Test
    void nothingIsTriedAfterTheDeadline() {
        assertThat(decide(NOT_RUN, true, true, Duration.ZERO))
                .isEqualTo(new RetryDecision.GiveUp(ErrorCode.DEADLINE_EXCEEDED, RequestOutcome.NOT_RUN));
    }

    @Test
    void anUnknownAttemptIsNeverForgottenByALaterOneThatDidNotRun() {
        AttemptHistory history = AttemptHistory.none().plusAttempt().plusOutcome(UNKNOWN);

        assertThat(history.plusAttempt().plusOutcome(NOT_RUN).outcome()).isEqualTo(RequestOutcome.UNKNOWN);
    }

    @Test
    void theBudgetKeepsAttemptsBelowOneAndAFifthARequest() {
        int retries = 0;
        for (int request = 0; request < 1_000; request++) {
            budget.earn();
            while (budget.trySpend()) {
                retries++;
            }
        }

        assertThat(retries).isLessThanOrEqualTo(200);
    }
}
