package org.nettlering.consensus.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/** A {@link StorageFolder} on a real file system. */
public final class DiskFolder implements StorageFolder {
    /** The file that is locked to exclude other processes. */
    private static final String LOCK_NAME = "lock";

    private final Path path;

    /** The open lock file; null until {@link #lock()}. */
    private @Nullable FileChannel lockChannel;

    /**
     * Opens a folder, creating it if it does not exist.
     *
     * @param path the folder, not null
     * @return the open folder, never null
     * @throws NettleringException with {@code STORAGE_FAILED} if it cannot be created
     */
    public static DiskFolder open(Path path) {
        try {
            Files.createDirectories(path);
            return new DiskFolder(path);
        } catch (IOException e) {
            throw storageFailure("create folder", path, e);
        }
    }

    private DiskFolder(Path path) {
        this.path = path;
    }

    @Override
    public void lock() {
        Path file = path.resolve(LOCK_NAME);
        try {
            FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            lockChannel = channel;
            FileLock lock = channel.tryLock();
            if (lock == null) {
                throw alreadyLocked();
            }
        } catch (OverlappingFileLockException e) {
            throw alreadyLocked();
        } catch (IOException e) {
            throw storageFailure("lock", file, e);
        }
    }

    private NettleringException alreadyLocked() {
        return new NettleringException(ErrorCode.STORAGE_LOCKED, "another process uses the data folder " + path);
    }

    @Override
    public List<String> list() {
        try (Stream<Path> files = Files.list(path)) {
            return files.filter(Files::isRegularFile)
                    .map(file -> String.valueOf(file.getFileName()))
                    .filter(name -> !name.equals(LOCK_NAME))
                    .sorted()
                    .toList();
        } catch (IOException e) {
            throw storageFailure("list", path, e);
        }
    }

    @Override
    public byte[] read(String name) {
        try {
            return Files.readAllBytes(path.resolve(name));
        } catch (IOException e) {
            throw storageFailure("read", path.resolve(name), e);
        }
    }

    @Override
    public AppendFile open(String name) {
        Path file = path.resolve(name);
        try {
            FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            channel.position(channel.size());
            return new DiskFile(file, channel);
        } catch (IOException e) {
            throw storageFailure("open", file, e);
        }
    }

    @Override
    public void rename(String from, String to) {
        try {
            Files.move(path.resolve(from), path.resolve(to), StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            throw storageFailure("rename", path.resolve(from), e);
        }
    }

    @Override
    public void delete(String name) {
        try {
            Files.deleteIfExists(path.resolve(name));
        } catch (IOException e) {
            throw storageFailure("delete", path.resolve(name), e);
        }
    }

    @Override
    public void sync() {
        try (FileChannel channel = FileChannel.open(path, StandardOpenOption.READ)) {
            channel.force(true);
        } catch (IOException e) {
            throw storageFailure("sync", path, e);
        }
    }

    @Override
    public void close() {
        FileChannel channel = lockChannel;
        if (channel == null) {
            return;
        }
        try {
            channel.close();
        } catch (IOException e) {
            throw storageFailure("unlock", path, e);
        }
    }

    private static NettleringException storageFailure(String action, Path file, IOException cause) {
        return new NettleringException(
                ErrorCode.STORAGE_FAILED, "cannot " + action + " " + file + ": " + cause.getMessage(), cause);
    }

    private record DiskFile(Path file, FileChannel channel) implements AppendFile {
        @Override
        public void write(byte[] bytes) {
            try {
                ByteBuffer buffer = ByteBuffer.wrap(bytes);
                while (buffer.hasRemaining()) {
                    channel.write(buffer);
                }
            } catch (IOException e) {
                throw storageFailure("write", file, e);
            }
        }

        @Override
        public void sync() {
            try {
                channel.force(false);
            } catch (IOException e) {
                throw storageFailure("sync", file, e);
            }
        }

        @Override
        public void truncate(long sizeBytes) {
            try {
                channel.truncate(sizeBytes);
                channel.position(sizeBytes);
            } catch (IOException e) {
                throw storageFailure("truncate", file, e);
            }
        }

        @Override
        public void close() {
            try {
                channel.close();
            } catch (IOException e) {
                throw storageFailure("close", file, e);
            }
        }
    }
}
