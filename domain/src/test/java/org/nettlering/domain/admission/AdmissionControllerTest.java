package org.nettlering.domain.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.admission.AdmissionDecisions.Grant;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.routing.RoutingPolicy;
import org.nettlering.domain.time.ManualTime;
import org.nettlering.domain.upstream.UpstreamAddress;
import org.nettlering.domain.upstream.UpstreamAnnouncement;
import org.nettlering.domain.upstream.UpstreamState;

class AdmissionControllerTest {
    private static final UpstreamAddress ADDRESS = new UpstreamAddress("127.0.0.1", 80);
    private static final RequestCompletion RESPONDED = new RequestCompletion.Responded(Duration.ofMillis(100));

    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);
    private final AdmissionController<String> admission =
            AdmissionController.of("entry", new RoutingPolicy.LeasedSlots(), 4, time, new Random(1));

    AdmissionControllerTest() {
        admission.setUpstreams("urgent", List.of(announcement("urgent")));
        admission.setUpstreams("batch", List.of(announcement("batch")));
    }

    private static UpstreamAnnouncement announcement(String service) {
        return new UpstreamAnnouncement(service, "one", ADDRESS, 1, 8, "", UpstreamState.SERVING, 1, 1);
    }

    private AdmissionDecisions<String> submit(String name, String service, long deadlineMillis) {
        int urgency = service.equals("urgent") ? 90 : 10;
        long deadline = Duration.ofMillis(deadlineMillis).toNanos();
        return admission.submit(new AdmissionRequest<>(name, service, urgency, deadline, Set.of()), 2);
    }

    @Test
    void aFreeSlotIsGrantedImmediately() {
        assertThat(submit("a", "batch", 1_000).grants()).containsExactly(new Grant<>("a", ADDRESS));
    }

    @Test
    void aFreedSlotIsGrantedByUrgencyThenByEarliestDeadline() {
        submit("a", "batch", 10_000);
        submit("b", "batch", 10_000);
        submit("late", "urgent", 9_000);
        submit("early", "urgent", 8_000);

        assertThat(admission.release(ADDRESS, "batch", RESPONDED).grants())
                .containsExactly(new Grant<>("early", ADDRESS));
        assertThat(admission.release(ADDRESS, "urgent", RESPONDED).grants())
                .containsExactly(new Grant<>("late", ADDRESS));
        assertThat(admission.release(ADDRESS, "urgent", RESPONDED).grants()).containsExactly(new Grant<>("b", ADDRESS));
    }

    @Test
    void aFullQueueRejectsTheRequestWithTheLatestDeadline() {
        submit("a", "batch", 10_000);
        submit("b", "batch", 10_000);
        submit("c", "batch", 20_000);

        AdmissionDecisions<String> decisions = submit("d", "batch", 15_000);

        assertThat(decisions.rejections())
                .extracting(AdmissionDecisions.Rejection::payload)
                .containsExactly("c");
    }

    @Test
    void theLeastUrgentRequestIsRejectedWhenTheTotalQueueLimitIsExceeded() {
        submit("running", "batch", 10_000);
        submit("b", "batch", 10_000);
        submit("c", "batch", 10_000);
        submit("d", "urgent", 10_000);
        submit("e", "urgent", 10_000);
        AdmissionController<String> small =
                AdmissionController.of("entry", new RoutingPolicy.LeasedSlots(), 1, time, new Random(1));
        small.setUpstreams("urgent", List.of(announcement("urgent")));
        small.setUpstreams("batch", List.of(announcement("batch")));
        long deadline = Duration.ofSeconds(10).toNanos();
        small.submit(new AdmissionRequest<>("a", "batch", 10, deadline, Set.of()), 9);
        small.submit(new AdmissionRequest<>("b", "batch", 10, deadline, Set.of()), 9);

        AdmissionDecisions<String> decisions =
                small.submit(new AdmissionRequest<>("c", "urgent", 90, deadline, Set.of()), 9);

        assertThat(decisions.rejections())
                .extracting(AdmissionDecisions.Rejection::payload)
                .containsExactly("b");
        assertThat(admission.queuedCount()).isEqualTo(4);
    }

    @Test
    void aRequestThatCannotMeetItsDeadlineIsRejectedWithTheDrainTimeAsRetryAfter() {
        for (int number = 0; number < 20; number++) {
            submit("a", "batch", 60_000);
            time.advance(Duration.ofMillis(100));
            admission.release(ADDRESS, "batch", RESPONDED);
        }
        submit("running", "batch", 60_000);
        submit("waiting", "batch", 60_000);

        AdmissionDecisions<String> decisions = submit("hopeless", "batch", 2_000 + 150);

        assertThat(decisions.rejections()).singleElement().satisfies(rejection -> {
            assertThat(rejection.code()).isEqualTo(ErrorCode.OVERLOADED);
            assertThat(rejection.retryAfter()).isBetween(Duration.ofMillis(100), Duration.ofMillis(400));
        });
    }

    @Test
    void aQueuedRequestIsRejectedOnceItCannotMeetItsDeadline() {
        submit("running", "batch", 60_000);
        submit("waiting", "batch", 1_000);
        time.advance(Duration.ofMillis(1_001));

        assertThat(admission.reevaluateQueues().rejections())
                .extracting(AdmissionDecisions.Rejection::payload)
                .containsExactly("waiting");
    }

    @Test
    void aWithdrawnRequestIsNotGranted() {
        submit("running", "batch", 60_000);
        submit("waiting", "batch", 60_000);

        assertThat(admission.withdraw("waiting")).isTrue();
        assertThat(admission.release(ADDRESS, "batch", RESPONDED).grants()).isEmpty();
    }

    @Test
    void allQueuedRequestsAreRejectedWhenNoUpstreamRemains() {
        submit("running", "batch", 60_000);
        submit("waiting", "batch", 60_000);

        assertThat(admission.setUpstreams("batch", List.of()).rejections())
                .extracting(AdmissionDecisions.Rejection::code)
                .containsExactly(ErrorCode.NO_UPSTREAM);
    }
}
