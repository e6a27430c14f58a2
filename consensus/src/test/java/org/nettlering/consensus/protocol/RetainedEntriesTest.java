package org.nettlering.consensus.protocol;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.nettlering.consensus.ConsensusMessage.AppendRequest;
import org.nettlering.consensus.ConsensusMessage.AppendResponse;
import org.nettlering.consensus.ConsensusSettings;
import org.nettlering.consensus.LogEntry;
import org.nettlering.consensus.LogStorage.StoredState;
import org.nettlering.consensus.Payload;
import org.nettlering.consensus.SnapshotHeader;
import org.nettlering.domain.error.NettleringException;

/** Guards against members that end for want of memory: entries before a snapshot stayed in memory, however large they are. */
class RetainedEntriesTest {
    private static final int LARGE_BYTES = 400_000;

    private static final long TRAILING_BYTES = ConsensusSettings.DEFAULT.trailingBytes();

    @Test
    void largeEntriesBeforeASnapshotStayInMemoryUpToALimitInBytes() {
        ProtocolFixture fixture = fixture(100, LARGE_BYTES);
        assertThat(logBytes(fixture)).isGreaterThan(100L * LARGE_BYTES);
        saveSnapshot(fixture, 101);
        assertThat(logBytes(fixture)).isBetween(TRAILING_BYTES - LARGE_BYTES - 1_000L, TRAILING_BYTES);
    }

    @Test
    void entriesBehindASnapshotStayWhateverTheirSize() {
        ProtocolFixture fixture = fixture(100, LARGE_BYTES);
        saveSnapshot(fixture, 11);
        assertThat(logBytes(fixture)).isGreaterThan(90L * LARGE_BYTES);
    }

    @Test
    void smallEntriesBeforeASnapshotStayInMemoryUpToALimitInNumber() {
        ProtocolFixture fixture = fixture(5_000, 1);
        saveSnapshot(fixture, 5_001);
        assertThat(logBytes(fixture))
                .isEqualTo(ConsensusSettings.DEFAULT.trailingEntries() * (1L + LogEntry.OVERHEAD_BYTES));
    }

    @Test
    void memberThatNeedsADiscardedEntryGetsTheSnapshot() {
        ProtocolFixture fixture = fixture(100, LARGE_BYTES);
        saveSnapshot(fixture, 101);
        fixture.winElection();
        fixture.sync();
        AppendRequest probe = fixture.lastSent(AppendRequest.class);
        fixture.receive(
                ProtocolFixture.B,
                new AppendResponse(
                        fixture.protocol.status().term(),
                        ProtocolFixture.DISK_B,
                        false,
                        probe.previousIndex(),
                        2,
                        probe.round()));
        assertThat(fixture.outbox.takeSnapshotRequest()).isTrue();
    }

    @Test
    void aNegativeSizeIsRejected() {
        assertThatThrownBy(() -> ConsensusSettings.DEFAULT.withTrailingBytes(-1))
                .isInstanceOf(NettleringException.class);
    }

    private static ProtocolFixture fixture(int count, int payloadBytes) {
        List<LogEntry> entries = new ArrayList<>();
        entries.add(ProtocolFixture.bootstrapEntry());
        Payload payload = Payload.of(new byte[payloadBytes]);
        for (int index = 2; index <= count + 1; index++) {
            entries.add(new LogEntry(index, 1, LogEntry.Kind.COMMAND, payload));
        }
        return new ProtocolFixture(new StoredState(1, Optional.empty(), Optional.empty(), entries));
    }

    private static void saveSnapshot(ProtocolFixture fixture, long index) {
        fixture.protocol.onSnapshotSaved(new SnapshotHeader(index, 1, ProtocolFixture.MEMBERSHIP, 0, 0));
    }

    private static long logBytes(ProtocolFixture fixture) {
        return fixture.protocol.status().logBytes();
    }
}
