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
 * A folder in memory that forgets what was not synced when it crashes.
 *
 * <p>Bytes survive once their file was synced, names once the folder was; of what was not synced, any beginning may survive,
 * with damage in the bytes. Not thread-safe.
 */
public final class SimulatedFolder implements StorageFolder {
    /** Draws what survives a crash. */
    private final RandomGenerator random;

    /** The files by their present names. */
    private TreeMap<String, Content> files = new TreeMap<>();

    /** The files by the names that are durable. */
    private TreeMap<String, Content> durableFiles = new TreeMap<>();

    /** Changes of names that are not durable, the earliest first. */
    private final List<NameChange> unsyncedNameChanges = new ArrayList<>();

    /** How many operations succeed before the disk fails; negative if it does not fail. */
    private long operationsBeforeFailure = -1;

    /** True once an operation has failed; every later one fails as well. */
    private boolean failed;

    /**
     * Creates an empty folder.
     *
     * @param random draws what survives a crash, not null
     */
    public SimulatedFolder(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Makes an operation fail, and every one after it.
     *
     * @param operations how many operations succeed before
     */
    public void failAfter(long operations) {
        operationsBeforeFailure = operations;
    }

    /** Works again and keeps everything that was written, as when only the process was killed. */
    public void crashProcess() {
        failed = false;
        operationsBeforeFailure = -1;
    }

    /** Loses what was not synced, as when the machine loses its power, and works again. */
    public void crashMachine() {
        failed = false;
        operationsBeforeFailure = -1;
        int survivingChanges = random.nextInt(unsyncedNameChanges.size() + 1);
        unsyncedNameChanges.subList(0, survivingChanges).forEach(change -> change.apply(durableFiles));
        unsyncedNameChanges.clear();
        files = new TreeMap<>(durableFiles);
        files.values().forEach(content -> content.loseUnsyncedBytes(random));
    }

    /** Loses everything, as when the disk is replaced. */
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
     * Replaces the bytes of a file, durably and without a failure.
     *
     * @param name the file, not null
     * @param bytes its new bytes, not null
     */
    public void overwrite(String name, byte[] bytes) {
        content(name).replace(bytes);
    }

    private Content content(String name) {
        Content content = files.get(name);
        if (content == null) {
            throw new NettleringException(ErrorCode.STORAGE_FAILED, "there is no file " + name);
        }
        return content;
    }

    @Override
    public AppendFile open(String name) {
        countOperation();
        Content content = files.get(name);
        if (content == null) {
            content = new Content();
            applyNameChange(new NameChange.Create(name, content));
        }
        return new SimulatedFile(content);
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

    @Override
    public void sync() {
        countOperation();
        durableFiles = new TreeMap<>(files);
        unsyncedNameChanges.clear();
    }

    @Override
    public void close() {}

    /** A change of names. */
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

    /** The bytes of a file and how many of them are durable. */
    private static final class Content {
        /** Every byte that was written. */
        private ByteArrayOutputStream written = new ByteArrayOutputStream();

        /** How many of them are durable. */
        private int durableBytes;

        byte[] bytes() {
            return written.toByteArray();
        }

        void replace(byte[] bytes) {
            written = new ByteArrayOutputStream();
            written.writeBytes(bytes);
            durableBytes = bytes.length;
        }

        void loseUnsyncedBytes(RandomGenerator random) {
            byte[] all = bytes();
            int unsynced = all.length - durableBytes;
            if (unsynced == 0) {
                return;
            }
            byte[] surviving = Arrays.copyOf(all, durableBytes + random.nextInt(unsynced + 1));
            if (surviving.length > durableBytes && random.nextBoolean()) {
                surviving[durableBytes + random.nextInt(surviving.length - durableBytes)] ^= 0x55;
            }
            replace(surviving);
        }
    }

    /** An open file. */
    private final class SimulatedFile implements AppendFile {
        /** The bytes. */
        private final Content content;

        SimulatedFile(Content content) {
            this.content = content;
        }

        @Override
        public void write(byte[] bytes) {
            countOperation();
            content.written.writeBytes(bytes);
        }

        @Override
        public void sync() {
            countOperation();
            content.durableBytes = content.written.size();
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
