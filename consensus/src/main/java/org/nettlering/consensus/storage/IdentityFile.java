package org.nettlering.consensus.storage;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.List;
import org.nettlering.consensus.MemberId;
import org.nettlering.consensus.Payload;
import org.nettlering.consensus.storage.StorageFolder.AppendFile;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/** The file that identifies the member and its disk: file header, checksum, disk id, member id. */
final class IdentityFile {
    private static final String NAME = "identity";

    /** The name of the file until it is completely written and synced. */
    private static final String INCOMPLETE_NAME = "identity.incomplete";

    /** The offset of the first checksummed byte. */
    private static final int CHECKSUMMED_OFFSET = FileHeader.SIZE_BYTES + Integer.BYTES;

    private IdentityFile() {}

    /**
     * Returns the disk id, generating a random one if the folder is empty.
     *
     * @throws NettleringException with {@code STORAGE_CORRUPT} if the file is corrupt or missing from a folder with other
     *     files, with {@code INVALID_SETTINGS} if the folder belongs to another member
     */
    static long readOrCreate(StorageFolder folder, MemberId self) {
        List<String> names = folder.list();
        if (names.contains(NAME)) {
            return decode(folder.read(NAME), self);
        }
        if (!names.isEmpty()) {
            throw new NettleringException(
                    ErrorCode.STORAGE_CORRUPT, "the data folder contains " + names + " but no file " + NAME);
        }
        long diskId = new SecureRandom().nextLong(Long.MAX_VALUE) + 1;
        try (AppendFile file = folder.open(INCOMPLETE_NAME)) {
            file.write(encode(diskId, self));
            file.sync();
        }
        folder.rename(INCOMPLETE_NAME, NAME);
        folder.sync();
        return diskId;
    }

    private static byte[] encode(long diskId, MemberId self) {
        byte[] name = self.value().getBytes(StandardCharsets.UTF_8);
        ByteBuffer file = ByteBuffer.allocate(CHECKSUMMED_OFFSET + Long.BYTES + name.length);
        file.put(FileHeader.encode()).putInt(0).putLong(diskId).put(name);
        return file.putInt(FileHeader.SIZE_BYTES, checksum(file.array())).array();
    }

    private static int checksum(byte[] file) {
        return (int) Payload.of(file)
                .slice(CHECKSUMMED_OFFSET, file.length - CHECKSUMMED_OFFSET)
                .checksum();
    }

    private static long decode(byte[] file, MemberId self) {
        FileHeader.check(NAME, file);
        boolean intact = file.length > CHECKSUMMED_OFFSET + Long.BYTES
                && ByteBuffer.wrap(file).getInt(FileHeader.SIZE_BYTES) == checksum(file);
        if (!intact) {
            throw new NettleringException(ErrorCode.STORAGE_CORRUPT, "file " + NAME + " is corrupt");
        }
        int nameOffset = CHECKSUMMED_OFFSET + Long.BYTES;
        String storedMember = new String(file, nameOffset, file.length - nameOffset, StandardCharsets.UTF_8);
        if (!storedMember.equals(self.value())) {
            throw new NettleringException(
                    ErrorCode.INVALID_SETTINGS,
                    "the data folder belongs to member " + storedMember + ", not to " + self);
        }
        return ByteBuffer.wrap(file).getLong(CHECKSUMMED_OFFSET);
    }
}
