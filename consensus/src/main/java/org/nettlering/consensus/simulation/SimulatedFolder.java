package org.nettlering.consensus.simulation;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.nettlering.consensus.storage.StorageFolder;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/**
 * An in-memory folder that loses unsynced data in a simulated machine crash.
 *
 * <p>In a crash,
 *
 * <ul>
 *   <li>the bytes of a file survive up to its last sync, and an arbitrary prefix of the later bytes, possibly corrupted;
 *   <li>changes of file names survive up to the last sync of the folder, and of the later ones each is kept or lost on its
 *       own, whatever became of the others;
 *   <li>the name under which a file was created survives once the file itself was synced;
 *   <li>sometimes, nothing survives that was not synced.
 * </ul>
 *
 * <p>Not thread-safe.
 */
public final class SimulatedFolder implements StorageFolder {
    /** The mean number of crashes between two that lose everything that was not synced. */
    private static final int CRASHES_PER_TOTAL_LOSS = 4;

    /** Determines which unsynced data survives a crash. */
    private final RandomGenerator random;

    /** The files by their current names. */
    private TreeMap<String, Content> files = new TreeMap<>();

    /** The files by their durable names. */
    private TreeMap<String, Content> durableFiles = new TreeMap<>();

    /** Changes of file names since the last sync, oldest first. */
    private final List<NameChange> unsyncedNameChanges = new ArrayList<>();

    /** The number of operations before the disk fails; negative if it does not fail. */
    private long operationsBeforeFailure = -1;

    /** Whether the disk is full: it refuses to create and write files, and does everything else. */
    private boolean full;

    /** Whether the disk refuses to create files. */
    private boolean refusesNewFiles;

    /** True once an operation has failed; all later operations then fail as well. */
    private boolean failed;

    /**
     * Creates an empty folder.
     *
     * @param random determines which unsynced data survives a crash, not null
     */
    public SimulatedFolder(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Makes all operations fail after the given number of successful ones.
     *
     * @param operations the number of operations that still succeed; negative for all
     */
    public void failAfter(long operations) {
        operationsBeforeFailure = operations;
    }

    /**
     * Makes the disk full, or gives it room again. While it is full, files are neither created nor written, except that a
     * write may leave a part of its bytes behind.
     *
     * @param isFull whether it is full
     */
    public void setFull(boolean isFull) {
        full = isFull;
    }

    /**
     * Makes the disk refuse to create files, or create them again.
     *
     * @param isRefused whether it refuses
     */
    public void refuseNewFiles(boolean isRefused) {
        refusesNewFiles = isRefused;
    }

    /** Simulates a crash of the process only: retains all written data and ends any disk failure. */
    public void crashProcess() {
        failed = false;
        operationsBeforeFailure = -1;
    }

    /** Simulates a crash of the machine: loses unsynced data and ends any disk failure. */
    public void crashMachine() {
        failed = false;
        operationsBeforeFailure = -1;
        boolean losesAll = random.nextInt(CRASHES_PER_TOTAL_LOSS) == 0;
        for (NameChange change : unsyncedNameChanges) {
            if (!losesAll && random.nextBoolean()) {
                change.apply(durableFiles);
            }
        }
        unsyncedNameChanges.clear();
        files = new TreeMap<>(durableFiles);
        files.values().forEach(content -> content.loseUnsyncedBytes(random, losesAll));
    }

    /** Simulates the replacement of the disk: deletes all files and ends any disk failure. */
    public void wipe() {
        crashMachine();
        files.clear();
        durableFiles.clear();
    }

    private void countOperation() {
        if (failed || operationsBeforeFailure == 0) {
            failed = true;
            throw new NettleringException(ErrorCode.STORAGE_FAILED, "the simulated disk has failed");
        }
        if (operationsBeforeFailure > 0) {
            operationsBeforeFailure--;
        }
    }

    @Override
    public void lock() {}

    @Override
    public List<String> list() {
        return List.copyOf(files.keySet());
    }

    @Override
    public byte[] read(String name) {
        return content(name).bytes();
    }

    /**
     * Replaces the content of a file durably; never fails because of a simulated disk failure.
     *
     * @param name the name of an existing file, not null
     * @param bytes the new content, not null
     */
    public void overwrite(String name, byte[] bytes) {
        content(name).replace(bytes);
    }

    private Content content(String name) {
        Content content = files.get(name);
        if (content == null) {
            throw new NettleringException(ErrorCode.STORAGE_FAILED, "no such file: " + name);
        }
        return content;
    }

    @Override
    public AppendFile open(String name) {
        countOperation();
        Content content = files.get(name);
        if (content == null) {
            requireRoom(true);
            content = new Content();
            applyNameChange(new NameChange.Create(name, content));
        }
        return new SimulatedFile(content);
    }

    private void requireRoom(boolean isNewFile) {
        if (full || (isNewFile && refusesNewFiles)) {
            throw new NettleringException(ErrorCode.STORAGE_FAILED, "no space left on the simulated disk");
        }
    }

    @Override
    public void rename(String from, String to) {
        countOperation();
        applyNameChange(new NameChange.Rename(from, to));
    }

    @Override
    public void delete(String name) {
        countOperation();
        applyNameChange(new NameChange.Delete(name));
    }

    private void applyNameChange(NameChange change) {
        change.apply(files);
        unsyncedNameChanges.add(change);
    }

    /** Makes the name durable under which a file was created. */
    private void keepCreatedName(Content content) {
        for (NameChange change : List.copyOf(unsyncedNameChanges)) {
            if (change instanceof NameChange.Create create && create.content() == content) {
                create.apply(durableFiles);
                unsyncedNameChanges.remove(change);
            }
        }
    }

    @Override
    public void sync() {
        countOperation();
        durableFiles = new TreeMap<>(files);
        unsyncedNameChanges.clear();
    }

    @Override
    public void close() {}

    /** A change of file names. */
    private sealed interface NameChange {
        record Create(String name, Content content) implements NameChange {}

        record Rename(String from, String to) implements NameChange {}

        record Delete(String name) implements NameChange {}

        default void apply(Map<String, Content> files) {
            switch (this) {
                case Create create -> files.put(create.name(), create.content());
                case Rename rename -> {
                    Content moved = files.remove(rename.from());
                    if (moved != null) {
                        files.put(rename.to(), moved);
                    }
                }
                case Delete delete -> files.remove(delete.name());
            }
        }
    }

    /** The content of a file, with the number of its durable bytes. */
    private static final class Content {
        private ByteArrayOutputStream written = new ByteArrayOutputStream();

        private int durableBytes;

        byte[] bytes() {
            return written.toByteArray();
        }

        void replace(byte[] bytes) {
            written = new ByteArrayOutputStream();
            written.writeBytes(bytes);
            durableBytes = bytes.length;
        }

        void loseUnsyncedBytes(RandomGenerator random, boolean losesAll) {
            byte[] all = bytes();
            int unsynced = all.length - durableBytes;
            if (unsynced == 0) {
                return;
            }
            byte[] surviving =
                    Arrays.copyOf(all, losesAll ? durableBytes : durableBytes + random.nextInt(unsynced + 1));
            if (surviving.length > durableBytes && random.nextBoolean()) {
                surviving[durableBytes + random.nextInt(surviving.length - durableBytes)] ^= 0x55;
            }
            replace(surviving);
        }
    }

    private final class SimulatedFile implements AppendFile {
        private final Content content;

        SimulatedFile(Content content) {
            this.content = content;
        }

        @Override
        public void write(byte[] bytes) {
            countOperation();
            if (full) {
                content.written.write(bytes, 0, random.nextInt(bytes.length));
            }
            requireRoom(false);
            content.written.writeBytes(bytes);
        }

        @Override
        public void sync() {
            countOperation();
            content.durableBytes = content.written.size();
            keepCreatedName(content);
        }

        @Override
        public void truncate(long sizeBytes) {
            countOperation();
            content.replace(Arrays.copyOf(content.bytes(), (int) sizeBytes));
        }

        @Override
        public void close() {}
    }
}
