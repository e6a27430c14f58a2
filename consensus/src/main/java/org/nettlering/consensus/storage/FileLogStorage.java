package org.nettlering.consensus.storage;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;
import org.jspecify.annotations.Nullable;
import org.nettlering.consensus.LogEntry;
import org.nettlering.consensus.LogStorage;
import org.nettlering.consensus.MemberId;
import org.nettlering.consensus.Payload;
import org.nettlering.consensus.SnapshotHeader;
import org.nettlering.consensus.storage.StorageFolder.AppendFile;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/**
 * Stores the persistent state of a member in the files of one folder.
 *
 * <p>The log is a sequence of segment files, each a sequence of checksummed frames. {@link #load()} handles damage as
 * follows:
 *
 * <ul>
 *   <li>A torn frame at the end of the log, left by a crash during a write, is truncated.
 *   <li>Any other damage fails with {@code STORAGE_CORRUPT}. The member must then restart with an empty folder and receive
 *       a fresh copy from the other members.
 * </ul>
 *
 * <p>Thread-safe to the extent that {@link LogStorage} requires.
 */
public final class FileLogStorage implements LogStorage {
    /** The default size at which a segment is closed and a new one is started. */
    public static final int DEFAULT_SEGMENT_BYTES = 8 << 20;

    private static final String SEGMENT_PREFIX = "log-";

    private static final String SNAPSHOT_PREFIX = "snapshot-";

    /** The suffix of a file until it is completely written and synced. */
    private static final String INCOMPLETE_SUFFIX = ".incomplete";

    private final StorageFolder folder;

    private final MemberId self;

    /** The size at which a segment is closed and a new one is started. */
    private final int segmentBytes;

    /** Guards the snapshot files and {@link #snapshotIndex}. */
    private final ReentrantLock snapshotLock = new ReentrantLock();

    /** Segments that are no longer written, oldest first; deleted once a snapshot includes their entries. */
    private final List<ClosedSegment> closedSegments = new ArrayList<>();

    /** Operations to write in the next {@link #sync()}. */
    private List<LogOperation> pendingOperations = new ArrayList<>();

    private @Nullable AppendFile activeSegment;

    private String activeSegmentName = "";

    private long activeSegmentSizeBytes;

    /** The highest entry index in the active segment; zero if it has no entries. */
    private long activeSegmentLastIndex;

    private long nextFrameSequence = 1;

    /** The latest term and vote; each new segment starts with them. */
    private LogOperation.Vote vote = new LogOperation.Vote(0L, Optional.empty());

    /** The index of the last entry that the latest snapshot includes. */
    private long snapshotIndex;

    private long diskId;

    /**
     * Creates the storage of a member with the default segment size. Reads nothing until {@link #load()}.
     *
     * @param folder the data folder, not null
     * @param self the member that owns the folder, not null
     * @return the storage, never null
     */
    public static FileLogStorage open(StorageFolder folder, MemberId self) {
        return new FileLogStorage(folder, self, DEFAULT_SEGMENT_BYTES);
    }

    /**
     * Creates the storage of a member with the given segment size. Reads nothing until {@link #load()}.
     *
     * @param folder the data folder, not null
     * @param self the member that owns the folder, not null
     * @param segmentBytes the size in bytes at which a segment is closed and a new one is started
     * @return the storage, never null
     */
    public static FileLogStorage open(StorageFolder folder, MemberId self, int segmentBytes) {
        return new FileLogStorage(folder, self, segmentBytes);
    }

    private FileLogStorage(StorageFolder folder, MemberId self, int segmentBytes) {
        this.folder = folder;
        this.self = self;
        this.segmentBytes = segmentBytes;
    }

    @Override
    public StoredState load() {
        folder.lock();
        deleteIncompleteFiles();
        diskId = IdentityFile.readOrCreate(folder, self);
        Optional<StoredSnapshot> snapshot = loadSnapshot();
        SnapshotHeader header = snapshot.map(StoredSnapshot::header).orElse(SnapshotHeader.NONE);
        snapshotIndex = header.index();
        LogReplay replay = replaySegments();
        List<LogEntry> entries = replay.entriesAfter(header);
        vote = new LogOperation.Vote(replay.term(), replay.votedFor());
        long lastIndex = entries.isEmpty() ? header.index() : entries.getLast().index();
        if (!startSegment()) {
            throw full("start a segment of the log");
        }
        if (!replay.canAppendAfter(lastIndex)) {
            pendingOperations.add(new LogOperation.Reset(lastIndex));
            sync();
        }
        return new StoredState(replay.term(), replay.votedFor(), snapshot, entries);
    }

    private void deleteIncompleteFiles() {
        for (String name : folder.list()) {
            if (name.endsWith(INCOMPLETE_SUFFIX)) {
                folder.delete(name);
            }
        }
    }

    private LogReplay replaySegments() {
        LogReplay replay = new LogReplay();
        List<String> names = filesWithPrefix(SEGMENT_PREFIX);
        for (String name : names) {
            boolean isLastSegment = name.equals(names.getLast());
            byte[] file = folder.read(name);
            FileHeader.check(name, file);
            long lastIndex = replayFrames(name, file, isLastSegment, replay);
            if (isLastSegment) {
                syncSegment(name);
            }
            closedSegments.add(new ClosedSegment(name, lastIndex));
        }
        return replay;
    }

    /** Syncs a segment that was read, because a killed process may have written bytes to it without syncing them. */
    private void syncSegment(String name) {
        try (AppendFile file = folder.open(name)) {
            file.sync();
        }
    }

    /** Replays the frames of a segment and returns the highest entry index in it. */
    private long replayFrames(String name, byte[] file, boolean isLastSegment, LogReplay replay) {
        long lastIndex = 0;
        int offset = FileHeader.SIZE_BYTES;
        while (offset < file.length) {
            int size = LogFrame.validFrameSize(file, offset);
            if (size == 0) {
                truncateTornFrame(name, file, offset, isLastSegment);
                return lastIndex;
            }
            LogFrame frame = LogFrame.decode(file, offset, size);
            boolean isFirstFrame = closedSegments.isEmpty() && offset == FileHeader.SIZE_BYTES;
            if (!isFirstFrame && frame.sequence() != nextFrameSequence) {
                throw corrupt(
                        name, offset, "frame " + nextFrameSequence + " is missing before frame " + frame.sequence());
            }
            nextFrameSequence = frame.sequence() + 1;
            for (LogOperation operation : frame.operations()) {
                replay.apply(operation);
                lastIndex = Math.max(lastIndex, lastIndexOf(operation));
            }
            offset += size;
        }
        return lastIndex;
    }

    private void truncateTornFrame(String name, byte[] file, int offset, boolean isLastSegment) {
        if (!isLastSegment || LogFrame.findValidFrame(file, offset + 1) != null) {
            throw corrupt(name, offset, "an invalid frame is followed by valid ones");
        }
        try (AppendFile segment = folder.open(name)) {
            segment.truncate(offset);
            segment.sync();
        }
    }

    private static NettleringException corrupt(String name, int offset, String reason) {
        return new NettleringException(
                ErrorCode.STORAGE_CORRUPT,
                "file " + name + " is corrupt at byte " + offset + ": " + reason
                        + "; restart the member with an empty data folder so that it gets a fresh copy from the others");
    }

    private static long lastIndexOf(LogOperation operation) {
        return operation instanceof LogOperation.Append append
                        && !append.entries().isEmpty()
                ? append.entries().getLast().index()
                : 0L;
    }

    private List<String> filesWithPrefix(String prefix) {
        return folder.list().stream()
                .filter(name -> name.startsWith(prefix))
                .sorted()
                .toList();
    }

    /**
     * Starts a segment whose first frame repeats the current term and vote, so that older segments can be deleted.
     *
     * @return false if the disk refused it; the active segment then remains
     */
    private boolean startSegment() {
        String name = String.format(Locale.ROOT, "%s%016x", SEGMENT_PREFIX, nextFrameSequence);
        byte[] firstFrame = new LogFrame(nextFrameSequence, List.of(vote)).encode();
        AppendFile file = createFile(name + INCOMPLETE_SUFFIX, FileHeader.encode(), firstFrame);
        if (file == null) {
            return false;
        }
        file.sync();
        folder.rename(name + INCOMPLETE_SUFFIX, name);
        folder.sync();
        nextFrameSequence++;
        AppendFile previous = activeSegment;
        if (previous != null) {
            previous.close();
            closedSegments.add(new ClosedSegment(activeSegmentName, activeSegmentLastIndex));
        }
        activeSegment = file;
        activeSegmentName = name;
        activeSegmentSizeBytes = (long) FileHeader.SIZE_BYTES + firstFrame.length;
        activeSegmentLastIndex = 0;
        return true;
    }

    /** Creates a file with the given content, which is not synced yet; returns null, and no file, if the disk refuses it. */
    private @Nullable AppendFile createFile(String name, byte[]... contents) {
        AppendFile file = null;
        try {
            file = folder.open(name);
            for (byte[] content : contents) {
                file.write(content);
            }
            return file;
        } catch (NettleringException refused) {
            if (file != null) {
                file.close();
            }
            folder.delete(name);
            return null;
        }
    }

    private static NettleringException full(String action) {
        return new NettleringException(ErrorCode.STORAGE_FULL, "the disk refused to " + action + "; it may be full");
    }

    @Override
    public long diskId() {
        return diskId;
    }

    @Override
    public void saveVote(long term, Optional<MemberId> votedFor) {
        vote = new LogOperation.Vote(term, votedFor);
        pendingOperations.add(vote);
    }

    @Override
    public void append(List<LogEntry> entries) {
        pendingOperations.add(new LogOperation.Append(entries));
    }

    @Override
    public void truncateFrom(long index) {
        pendingOperations.add(new LogOperation.Truncate(index));
    }

    @Override
    public void sync() {
        AppendFile file = activeSegment;
        if (pendingOperations.isEmpty() || file == null) {
            return;
        }
        List<LogOperation> operations = pendingOperations;
        byte[] frame = new LogFrame(nextFrameSequence, operations).encode();
        writeOrTakeBack(file, frame);
        file.sync();
        pendingOperations = new ArrayList<>();
        nextFrameSequence++;
        activeSegmentSizeBytes += frame.length;
        for (LogOperation operation : operations) {
            activeSegmentLastIndex = Math.max(activeSegmentLastIndex, lastIndexOf(operation));
        }
        if (activeSegmentSizeBytes >= segmentBytes) {
            // If the disk refuses a new segment, the active one grows until it takes one.
            boolean _ = startSegment();
        }
    }

    /** Writes a frame to the active segment, or leaves the segment as it was and fails with {@code STORAGE_FULL}. */
    private void writeOrTakeBack(AppendFile segment, byte[] frame) {
        try {
            segment.write(frame);
        } catch (NettleringException refused) {
            segment.truncate(activeSegmentSizeBytes);
            throw full("write to the log");
        }
    }

    @Override
    public void installSnapshot(SnapshotHeader header, Payload state, boolean retainLog) {
        sync();
        saveSnapshot(header, state);
        if (!retainLog) {
            pendingOperations.add(new LogOperation.Reset(header.index()));
            sync();
        }
    }

    @Override
    public void saveSnapshot(SnapshotHeader header, Payload state) {
        snapshotLock.lock();
        try {
            if (header.index() <= snapshotIndex) {
                return;
            }
            String name = String.format(Locale.ROOT, "%s%016x", SNAPSHOT_PREFIX, header.index());
            try (AppendFile file = createFile(name + INCOMPLETE_SUFFIX, SnapshotFile.encode(header, state))) {
                if (file == null) {
                    throw full("save a snapshot");
                }
                file.sync();
            }
            folder.rename(name + INCOMPLETE_SUFFIX, name);
            folder.sync();
            snapshotIndex = header.index();
            for (String other : filesWithPrefix(SNAPSHOT_PREFIX)) {
                if (other.compareTo(name) < 0) {
                    folder.delete(other);
                }
            }
        } finally {
            snapshotLock.unlock();
        }
    }

    @Override
    public void discardUpTo(long index) {
        while (!closedSegments.isEmpty() && closedSegments.getFirst().lastIndex() <= index) {
            folder.delete(closedSegments.removeFirst().name());
            // A power loss may bring back any name removed since the last sync, and load refuses a log with a gap.
            folder.sync();
        }
    }

    @Override
    public Optional<StoredSnapshot> loadSnapshot() {
        snapshotLock.lock();
        try {
            List<String> names = filesWithPrefix(SNAPSHOT_PREFIX).stream()
                    .filter(name -> !name.endsWith(INCOMPLETE_SUFFIX))
                    .toList();
            if (names.isEmpty()) {
                return Optional.empty();
            }
            return Optional.of(SnapshotFile.decode(names.getLast(), folder.read(names.getLast())));
        } finally {
            snapshotLock.unlock();
        }
    }

    @Override
    public void close() {
        AppendFile file = activeSegment;
        if (file != null) {
            file.close();
        }
        folder.close();
    }

    /** A segment that is no longer written, with the highest entry index in it. */
    private record ClosedSegment(String name, long lastIndex) {}
}
