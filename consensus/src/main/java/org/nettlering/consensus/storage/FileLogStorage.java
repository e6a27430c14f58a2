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
 * The durable state of a member in files of one folder.
 *
 * <p>The log is a row of segments of checksummed frames. A torn last frame is cut when the folder is opened. Anything else
 * that is damaged is refused with {@code STORAGE_CORRUPT}: the member then has to start with an empty folder and take a
 * fresh copy from the others. Thread-safe as {@link LogStorage} says.
 */
public final class FileLogStorage implements LogStorage {
    /** The size after which a segment is followed by a new one. */
    public static final int DEFAULT_SEGMENT_BYTES = 8 << 20;

    /** Begins the name of a segment. */
    private static final String SEGMENT_PREFIX = "log-";

    /** Begins the name of a snapshot. */
    private static final String SNAPSHOT_PREFIX = "snapshot-";

    /** Ends the name of a file that is not complete. */
    private static final String INCOMPLETE_SUFFIX = ".incomplete";

    /** Where the files are. */
    private final StorageFolder folder;

    /** Whose files they are. */
    private final MemberId self;

    /** The size after which a segment is followed by a new one. */
    private final int segmentBytes;

    /** Guards the snapshot files and the index of the latest one. */
    private final ReentrantLock snapshotLock = new ReentrantLock();

    /** The segments that can be removed once a snapshot includes them, the oldest first. */
    private final List<ClosedSegment> closedSegments = new ArrayList<>();

    /** Operations that the next sync writes. */
    private List<LogOperation> pendingOperations = new ArrayList<>();

    /** The segment that is being written. */
    private @Nullable AppendFile activeSegment;

    /** Its name. */
    private String activeSegmentName = "";

    /** Its size. */
    private long activeSegmentSizeBytes;

    /** The highest index of an entry in it. */
    private long activeSegmentLastIndex;

    /** The sequence number of the next frame. */
    private long nextFrameSequence = 1;

    /** The last vote that was written. */
    private LogOperation.Vote vote = new LogOperation.Vote(0L, Optional.empty());

    /** The last entry that the latest snapshot includes. */
    private long snapshotIndex;

    /** The id of the disk. */
    private long diskId;

    /**
     * Opens the files of a member; nothing is read before {@link #load()}.
     *
     * @param folder where the files are, not null
     * @param self whose files they are, not null
     * @return the storage, never null
     */
    public static FileLogStorage open(StorageFolder folder, MemberId self) {
        return new FileLogStorage(folder, self, DEFAULT_SEGMENT_BYTES);
    }

    /**
     * Opens the files of a member with another size of segments.
     *
     * @param folder where the files are, not null
     * @param self whose files they are, not null
     * @param segmentBytes the size after which a segment is followed by a new one
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
        startSegment();
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

    /** Syncs what was read: a process that was killed may have left bytes that it had written but not synced. */
    private void syncSegment(String name) {
        try (AppendFile file = folder.open(name)) {
            file.sync();
        }
    }

    /** Replays the frames of a segment and returns the highest index of an entry in it. */
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
            boolean first = closedSegments.isEmpty() && offset == FileHeader.SIZE_BYTES;
            if (!first && frame.sequence() != nextFrameSequence) {
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
            throw corrupt(name, offset, "a damaged frame is followed by intact ones");
        }
        try (AppendFile torn = folder.open(name)) {
            torn.truncate(offset);
            torn.sync();
        }
    }

    private static NettleringException corrupt(String name, int offset, String reason) {
        return new NettleringException(
                ErrorCode.STORAGE_CORRUPT,
                "file " + name + " is corrupt at byte " + offset + ": " + reason
                        + "; start with an empty data folder to take a fresh copy from the other members");
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

    /** Begins a segment with the current vote, so that the older ones can be removed. */
    private void startSegment() {
        AppendFile previous = activeSegment;
        if (previous != null) {
            previous.close();
            closedSegments.add(new ClosedSegment(activeSegmentName, activeSegmentLastIndex));
        }
        String name = String.format(Locale.ROOT, "%s%016x", SEGMENT_PREFIX, nextFrameSequence);
        byte[] first = new LogFrame(nextFrameSequence, List.of(vote)).encode();
        nextFrameSequence++;
        AppendFile file = folder.open(name + INCOMPLETE_SUFFIX);
        file.write(FileHeader.encode());
        file.write(first);
        file.sync();
        folder.rename(name + INCOMPLETE_SUFFIX, name);
        folder.sync();
        activeSegment = file;
        activeSegmentName = name;
        activeSegmentSizeBytes = (long) FileHeader.SIZE_BYTES + first.length;
        activeSegmentLastIndex = 0;
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
        pendingOperations = new ArrayList<>();
        byte[] frame = new LogFrame(nextFrameSequence, operations).encode();
        nextFrameSequence++;
        file.write(frame);
        file.sync();
        activeSegmentSizeBytes += frame.length;
        for (LogOperation operation : operations) {
            activeSegmentLastIndex = Math.max(activeSegmentLastIndex, lastIndexOf(operation));
        }
        if (activeSegmentSizeBytes >= segmentBytes) {
            startSegment();
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
            try (AppendFile file = folder.open(name + INCOMPLETE_SUFFIX)) {
                file.write(SnapshotFile.encode(header, state));
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

    /** A segment that is no longer written, and the highest index of an entry in it. */
    private record ClosedSegment(String name, long lastIndex) {}
}
