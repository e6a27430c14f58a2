package org.nettlering.consensus.storage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.assertj.core.api.ThrowableAssert.ThrowingCallable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.nettlering.consensus.LogEntry;
import org.nettlering.consensus.LogStorage.StoredState;
import org.nettlering.consensus.MemberId;
import org.nettlering.consensus.Membership;
import org.nettlering.consensus.Payload;
import org.nettlering.consensus.SnapshotHeader;
import org.nettlering.consensus.simulation.SimulatedFolder;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

class FileLogStorageTest {
    private static final MemberId SELF = MemberId.of("control-1");

    private final SimulatedFolder folder = new SimulatedFolder(new SplittableRandom(1));

    private FileLogStorage open() {
        return FileLogStorage.open(folder, SELF);
    }

    private static LogEntry entry(long index, long term) {
        return new LogEntry(index, term, LogEntry.Kind.COMMAND, payload("command " + index));
    }

    private static Payload payload(String text) {
        return Payload.of(text.getBytes(StandardCharsets.UTF_8));
    }

    private static SnapshotHeader header(long index, long term, Payload state) {
        return new SnapshotHeader(index, term, Membership.EMPTY, state.length(), state.checksum());
    }

    private static void assertFails(ErrorCode code, ThrowingCallable call) {
        assertThatThrownBy(call)
                .isInstanceOfSatisfying(
                        NettleringException.class,
                        failure -> assertThat(failure.code()).isEqualTo(code));
    }

    /** Writes two frames with one entry each and returns the name of their segment. */
    private String writeTwoFrames() {
        FileLogStorage storage = open();
        storage.load();
        storage.append(List.of(entry(1, 1)));
        storage.sync();
        storage.append(List.of(entry(2, 1)));
        storage.sync();
        return folder.list().stream()
                .filter(name -> name.startsWith("log-"))
                .findFirst()
                .orElseThrow();
    }

    private void corrupt(String file, int offset) {
        byte[] bytes = folder.read(file);
        bytes[offset] ^= 0x10;
        folder.overwrite(file, bytes);
    }

    /** A process is killed between a write and its sync; the next process reads the entry, then the power fails. */
    @Test
    void loadMakesUnsyncedEntriesOfAKilledProcessDurable() {
        for (int seed = 0; seed < 50; seed++) {
            SimulatedFolder disk = new SimulatedFolder(new SplittableRandom(seed));
            FileLogStorage killed = FileLogStorage.open(disk, SELF);
            killed.load();
            killed.append(List.of(entry(1, 1)));
            killed.sync();
            killed.append(List.of(entry(2, 1)));
            disk.failAfter(1);
            assertFails(ErrorCode.STORAGE_FAILED, killed::sync);
            disk.crashProcess();
            StoredState loaded = FileLogStorage.open(disk, SELF).load();
            assertThat(loaded.entries()).hasSize(2);
            disk.crashMachine();
            assertThat(FileLogStorage.open(disk, SELF).load().entries())
                    .as("seed " + seed)
                    .hasSize(2);
        }
    }

    @Test
    void syncedStateSurvivesAMachineCrash() {
        FileLogStorage storage = open();
        long diskId = new LoadedStorage(storage).diskId();
        storage.saveVote(7, Optional.of(MemberId.of("control-2")));
        storage.append(List.of(entry(1, 6), entry(2, 7), entry(3, 7)));
        storage.truncateFrom(3);
        storage.sync();
        folder.crashMachine();

        FileLogStorage reopened = open();
        StoredState stored = reopened.load();

        assertThat(stored.term()).isEqualTo(7);
        assertThat(stored.votedFor()).contains(MemberId.of("control-2"));
        assertThat(stored.entries()).containsExactly(entry(1, 6), entry(2, 7));
        assertThat(reopened.diskId()).isEqualTo(diskId);
    }

    /** Loads a storage to read its disk id. */
    private record LoadedStorage(FileLogStorage storage) {
        long diskId() {
            storage.load();
            return storage.diskId();
        }
    }

    @Test
    void aTornLastFrameIsTruncated() {
        String file = writeTwoFrames();
        byte[] bytes = folder.read(file);
        folder.overwrite(file, Arrays.copyOf(bytes, bytes.length - 3));

        assertThat(open().load().entries()).containsExactly(entry(1, 1));
        assertThat(open().load().entries()).containsExactly(entry(1, 1));
    }

    @Test
    void aCorruptFrameBeforeAValidOneFailsWithFileAndOffset() {
        String file = writeTwoFrames();
        corrupt(file, FileHeader.SIZE_BYTES + LogFrame.HEADER_BYTES + 2);

        assertThatThrownBy(() -> open().load())
                .hasMessageContaining(file)
                .hasMessageContaining("byte " + FileHeader.SIZE_BYTES)
                .hasMessageContaining("fresh copy");
    }

    @Test
    void aCorruptFrameInAClosedSegmentFailsTheLoad() {
        String file = writeTwoFrames();
        open().load();
        corrupt(file, folder.read(file).length - 1);

        assertFails(ErrorCode.STORAGE_CORRUPT, () -> open().load());
    }

    @Test
    void aMissingSegmentFailsTheLoad() {
        String file = writeTwoFrames();
        open().load();
        FileLogStorage third = open();
        third.load();
        folder.delete(folder.list().stream()
                .filter(name -> name.startsWith("log-") && !name.equals(file))
                .findFirst()
                .orElseThrow());

        assertFails(ErrorCode.STORAGE_CORRUPT, () -> open().load());
    }

    @Test
    void aNewerFormatVersionFailsTheLoad() {
        String file = writeTwoFrames();
        byte[] bytes = folder.read(file);
        byte[] newer = FileHeader.encode(FileHeader.FORMAT_VERSION + 1);
        System.arraycopy(newer, 0, bytes, 0, newer.length);
        folder.overwrite(file, bytes);

        assertFails(ErrorCode.STORAGE_TOO_NEW, () -> open().load());
    }

    @Test
    void aCorruptSnapshotFailsTheLoad() {
        FileLogStorage storage = open();
        storage.load();
        storage.saveSnapshot(header(5, 1, payload("state")), payload("state"));
        String file = folder.list().getLast();
        corrupt(file, folder.read(file).length - 1);

        assertFails(ErrorCode.STORAGE_CORRUPT, () -> open().load());
    }

    @Test
    void theFolderOfAnotherMemberIsRejected() {
        open().load();

        assertFails(
                ErrorCode.INVALID_SETTINGS,
                () -> FileLogStorage.open(folder, MemberId.of("control-2")).load());
    }

    @Test
    void filesWithoutAnIdentityFileAreRejected() {
        writeTwoFrames();
        folder.delete("identity");

        assertFails(ErrorCode.STORAGE_CORRUPT, () -> open().load());
    }

    @Test
    void aWipedFolderGetsANewDiskId() {
        long before = new LoadedStorage(open()).diskId();
        folder.wipe();

        assertThat(new LoadedStorage(open()).diskId()).isNotEqualTo(before);
    }

    /** Each removed name may come back after a power loss, whichever of the others do. */
    @Test
    void aPowerLossAfterSegmentsWereDiscardedLeavesAReadableLog() {
        for (int seed = 0; seed < 50; seed++) {
            SimulatedFolder disk = new SimulatedFolder(new SplittableRandom(seed));
            FileLogStorage storage = FileLogStorage.open(disk, SELF, 1);
            storage.load();
            for (int index = 1; index <= 8; index++) {
                storage.append(List.of(entry(index, 1)));
                storage.sync();
            }
            Payload state = payload("state");
            storage.saveSnapshot(header(6, 1, state), state);
            storage.discardUpTo(6);
            disk.crashMachine();

            StoredState loaded = FileLogStorage.open(disk, SELF, 1).load();

            assertThat(loaded.entries()).as("seed " + seed).containsExactly(entry(7, 1), entry(8, 1));
        }
    }

    @Test
    void whatAFullDiskRefusedIsStoredByTheSameCallOnceThereIsRoom() {
        FileLogStorage storage = open();
        storage.load();
        storage.append(List.of(entry(1, 1)));
        storage.sync();
        folder.setFull(true);
        storage.append(List.of(entry(2, 1)));
        Payload state = payload("state");

        assertFails(ErrorCode.STORAGE_FULL, storage::sync);
        assertFails(ErrorCode.STORAGE_FULL, storage::sync);
        assertFails(ErrorCode.STORAGE_FULL, () -> storage.saveSnapshot(header(1, 1, state), state));
        folder.setFull(false);
        storage.sync();
        storage.append(List.of(entry(3, 1)));
        storage.sync();
        storage.saveSnapshot(header(1, 1, state), state);
        folder.crashMachine();

        StoredState stored = open().load();
        assertThat(stored.snapshot()).isPresent();
        assertThat(stored.entries()).containsExactly(entry(2, 1), entry(3, 1));
    }

    @Test
    void aFullDiskThatTakesNoNewSegmentStillTakesEntries() {
        FileLogStorage storage = FileLogStorage.open(folder, SELF, 1);
        storage.load();
        folder.refuseNewFiles(true);
        storage.append(List.of(entry(1, 1)));
        storage.sync();
        storage.append(List.of(entry(2, 1)));
        storage.sync();
        folder.refuseNewFiles(false);
        storage.append(List.of(entry(3, 1)));
        storage.sync();
        folder.crashMachine();

        assertThat(open().load().entries()).containsExactly(entry(1, 1), entry(2, 1), entry(3, 1));
    }

    @Test
    void discardRemovesSegmentsThatTheSnapshotIncludes() {
        FileLogStorage storage = FileLogStorage.open(folder, SELF, 1);
        storage.load();
        for (long index = 1; index <= 6; index++) {
            storage.append(List.of(entry(index, 1)));
            storage.sync();
        }
        int before = folder.list().size();
        storage.saveSnapshot(header(4, 1, payload("state")), payload("state"));
        storage.discardUpTo(4);

        StoredState stored = open().load();

        assertThat(folder.list().size()).isLessThan(before);
        assertThat(stored.snapshot().orElseThrow().state()).isEqualTo(payload("state"));
        assertThat(stored.entries()).containsExactly(entry(5, 1), entry(6, 1));
    }

    @Test
    void anInstalledSnapshotReplacesAConflictingLog() {
        FileLogStorage storage = open();
        storage.load();
        storage.append(List.of(entry(1, 1), entry(2, 1), entry(3, 1), entry(4, 1)));
        storage.sync();
        storage.installSnapshot(header(3, 2, payload("state")), payload("state"), false);
        storage.append(List.of(entry(4, 2)));
        storage.sync();

        assertThat(open().load().entries()).containsExactly(entry(4, 2));
    }

    @Test
    void aCrashBetweenSnapshotAndLogResetLeavesNoConflictingEntries() {
        FileLogStorage storage = open();
        storage.load();
        storage.append(List.of(entry(1, 1), entry(2, 1), entry(3, 1), entry(4, 1)));
        storage.sync();
        storage.saveSnapshot(header(3, 2, payload("state")), payload("state"));

        FileLogStorage reopened = open();
        assertThat(reopened.load().entries()).isEmpty();
        reopened.append(List.of(entry(4, 2)));
        reopened.sync();

        assertThat(open().load().entries()).containsExactly(entry(4, 2));
    }

    @Test
    void everySyncFailsAfterAFailedSync() {
        FileLogStorage storage = open();
        storage.load();
        storage.append(List.of(entry(1, 1)));
        folder.failAfter(1);

        assertFails(ErrorCode.STORAGE_FAILED, storage::sync);
        storage.append(List.of(entry(2, 1)));
        assertFails(ErrorCode.STORAGE_FAILED, storage::sync);
    }

    @Test
    void aSecondProcessCannotLockTheSameFolder(@TempDir Path path) {
        FileLogStorage first = FileLogStorage.open(DiskFolder.open(path), SELF);
        first.load();

        assertFails(
                ErrorCode.STORAGE_LOCKED,
                () -> FileLogStorage.open(DiskFolder.open(path), SELF).load());
        first.close();
    }

    @Test
    void syncedEntriesAreReadFromARealDisk(@TempDir Path path) {
        try (FileLogStorage first = FileLogStorage.open(DiskFolder.open(path), SELF)) {
            first.load();
            first.append(List.of(entry(1, 1)));
            first.sync();
        }

        try (FileLogStorage second = FileLogStorage.open(DiskFolder.open(path), SELF)) {
            assertThat(second.load().entries()).containsExactly(entry(1, 1));
        }
    }
}
