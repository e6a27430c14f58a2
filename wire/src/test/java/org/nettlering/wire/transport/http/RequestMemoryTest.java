package org.nettlering.wire.transport.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.time.ManualTime;

class RequestMemoryTest {
    private static final long MEGABYTE = 1 << 20;

    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);
    private final RequestMemory memory = RequestMemory.of(MEGABYTE, time);
    private final List<String> gaveWay = new ArrayList<>();

    @Test
    void sharesNeverExceedTheMaximum() {
        RequestMemory.Share first = open("first");
        RequestMemory.Share second = open("second");
        assertThat(first.resize(MEGABYTE / 2)).isTrue();
        assertThat(second.resize(MEGABYTE / 2)).isFalse();
        assertThat(memory.usedBytes()).isEqualTo(MEGABYTE / 2);
        assertThat(gaveWay).isEmpty();
    }

    @Test
    void largeRequestsLeaveAQuarterToSmallOnes() {
        assertThat(open("large").resize(MEGABYTE * 3 / 4 + 1)).isFalse();
        assertThat(open("large").resize(MEGABYTE * 3 / 4)).isTrue();
        assertThat(open("larger than small").resize(17 * 1024)).isFalse();
        assertThat(open("small").resize(16 * 1024)).isTrue();
    }

    @Test
    void theSlowestRequestGivesWayOnceItIsOldEnough() {
        RequestMemory.Share slow = open("slow");
        RequestMemory.Share slowest = open("slowest");
        assertThat(slow.resize(MEGABYTE / 4)).isTrue();
        assertThat(slowest.resize(MEGABYTE / 4)).isTrue();
        slow.received(2);
        slowest.received(1);
        assertThat(open("early").resize(MEGABYTE / 2)).isFalse();
        time.advance(Duration.ofMillis(1_100));
        assertThat(open("late").resize(MEGABYTE / 2)).isTrue();
        assertThat(gaveWay).containsExactly("slowest");
        assertThat(slowest.resize(1)).isFalse();
        assertThat(memory.usedBytes()).isEqualTo(MEGABYTE * 3 / 4);
    }

    @Test
    void aRequestThatArrivesQuicklyDoesNotGiveWay() {
        RequestMemory.Share quick = open("quick");
        assertThat(quick.resize(MEGABYTE / 2)).isTrue();
        time.advance(Duration.ofSeconds(2));
        quick.received(20 * 1024);
        assertThat(open("other").resize(MEGABYTE / 2)).isFalse();
        assertThat(gaveWay).isEmpty();
    }

    @Test
    void aRequestThatIsCompleteDoesNotGiveWay() {
        RequestMemory.Share complete = open("complete");
        assertThat(complete.resize(MEGABYTE / 2)).isTrue();
        complete.complete();
        time.advance(Duration.ofSeconds(20));
        assertThat(open("other").resize(MEGABYTE / 2)).isFalse();
        assertThat(gaveWay).isEmpty();
    }

    @Test
    void aClosedShareGivesItsMemoryBackOnce() {
        RequestMemory.Share share = open("share");
        assertThat(share.resize(1_000)).isTrue();
        share.close();
        share.close();
        assertThat(memory.usedBytes()).isZero();
        assertThat(share.resize(1)).isFalse();
    }

    private RequestMemory.Share open(String name) {
        return memory.open(() -> gaveWay.add(name));
    }
}
