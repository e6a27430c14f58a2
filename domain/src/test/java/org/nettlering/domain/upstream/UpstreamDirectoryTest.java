package org.nettlering.domain.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.time.ManualTime;

class UpstreamDirectoryTest {
    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);
    private final UpstreamDirectory directory = UpstreamDirectory.create(time);

    private static UpstreamAnnouncement announcement(UpstreamState state, long incarnation, long sequence) {
        return new UpstreamAnnouncement(
                "previews", "one", new UpstreamAddress("127.0.0.1", 80), 8, 60, "a", state, incarnation, sequence);
    }

    @Test
    void theHighestSequenceWinsRegardlessOfArrivalOrder() {
        directory.acceptDirect(announcement(UpstreamState.LEAVING, 1, 2));

        assertThat(directory.acceptDirect(announcement(UpstreamState.SERVING, 1, 1)))
                .isEqualTo(AnnouncementResult.SUPERSEDED);
        assertThat(directory.serving("previews")).isEmpty();
    }

    @Test
    void aNewerIncarnationWinsOverAHigherSequence() {
        directory.acceptDirect(announcement(UpstreamState.LEAVING, 1, 99));
        directory.acceptDirect(announcement(UpstreamState.SERVING, 2, 1));

        assertThat(directory.serving("previews")).hasSize(1);
    }

    @Test
    void anAnnouncementThatIsNotRenewedExpires() {
        directory.acceptDirect(announcement(UpstreamState.SERVING, 1, 1));
        time.advance(UpstreamDirectory.ANNOUNCEMENT_LIFETIME);

        assertThat(directory.serving("previews")).isEmpty();
    }

    @Test
    void anAnnouncementExpiresWhileTheHostOfTheEntryIsSuspended() {
        directory.acceptDirect(announcement(UpstreamState.SERVING, 1, 1));
        time.suspend(UpstreamDirectory.ANNOUNCEMENT_LIFETIME);

        assertThat(directory.serving("previews")).isEmpty();
        assertThat(directory.changesSince(0).announcements()).isEmpty();
    }

    @Test
    void theAgePassedToAPeerIncludesASuspensionOfTheHost() {
        directory.acceptDirect(announcement(UpstreamState.SERVING, 1, 1));
        time.suspend(Duration.ofSeconds(2));

        assertThat(directory.changesSince(0).announcements())
                .singleElement()
                .satisfies(aged -> assertThat(aged.age()).isGreaterThanOrEqualTo(Duration.ofSeconds(2)));
    }

    @Test
    void anAnnouncementOfAPeerExpiresWhileTheHostOfTheEntryIsSuspended() {
        directory.acceptFromPeer(
                new AgedAnnouncement(announcement(UpstreamState.SERVING, 1, 1), Duration.ofSeconds(2)));
        time.suspend(Duration.ofMillis(500));

        assertThat(directory.serving("previews")).isEmpty();
    }

    @Test
    void aLeavingInstanceIsNotRestoredAfterALongSuspension() {
        directory.acceptDirect(announcement(UpstreamState.LEAVING, 1, 5));
        time.suspend(UpstreamDirectory.SEQUENCE_RETENTION.multipliedBy(2));
        directory.removeExpired();

        assertThat(directory.acceptDirect(announcement(UpstreamState.SERVING, 1, 4)))
                .isEqualTo(AnnouncementResult.SUPERSEDED);
    }

    @Test
    void theAgeReportedByAPeerCountsTowardsExpiry() {
        directory.acceptFromPeer(
                new AgedAnnouncement(announcement(UpstreamState.SERVING, 1, 1), Duration.ofSeconds(2)));
        time.advance(Duration.ofMillis(500));

        assertThat(directory.serving("previews")).isEmpty();
    }

    @Test
    void anExpiredInstanceIsNotRestoredByAnOlderAnnouncement() {
        directory.acceptDirect(announcement(UpstreamState.SERVING, 1, 5));
        time.advance(Duration.ofMinutes(5));

        assertThat(directory.acceptDirect(announcement(UpstreamState.SERVING, 1, 4)))
                .isEqualTo(AnnouncementResult.SUPERSEDED);
    }

    @Test
    void changesContainOnlyAnnouncementsReceivedDirectlySinceTheKnownVersion() {
        directory.acceptDirect(announcement(UpstreamState.SERVING, 1, 1));
        DirectoryChanges first = directory.changesSince(0);
        directory.acceptFromPeer(new AgedAnnouncement(announcement(UpstreamState.SERVING, 1, 2), Duration.ZERO));

        assertThat(first.announcements()).hasSize(1);
        assertThat(directory.changesSince(first.version()).announcements()).isEmpty();
    }
}
