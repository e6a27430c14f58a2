package org.nettlering.consensus.storage;

import java.nio.ByteBuffer;
import org.nettlering.consensus.LogStorage.StoredSnapshot;
import org.nettlering.consensus.Payload;
import org.nettlering.consensus.SnapshotHeader;
import org.nettlering.consensus.protocol.MembershipCodec;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/** The format of a snapshot file: file header, checksum, index, term, membership size, membership, state. */
final class SnapshotFile {
    /** The offset of the first checksummed byte. */
    private static final int CHECKSUMMED_OFFSET = FileHeader.SIZE_BYTES + Integer.BYTES;

    private static final int MEMBERSHIP_OFFSET = CHECKSUMMED_OFFSET + 2 * Long.BYTES + Integer.BYTES;

    private SnapshotFile() {}

    static byte[] encode(SnapshotHeader header, Payload state) {
        Payload membership = MembershipCodec.encode(header.membership());
        ByteBuffer file = ByteBuffer.allocate(MEMBERSHIP_OFFSET + membership.length() + state.length());
        file.put(FileHeader.encode()).putInt(0);
        file.putLong(header.index()).putLong(header.term());
        file.putInt(membership.length()).put(membership.bytes()).put(state.bytes());
        return file.putInt(FileHeader.SIZE_BYTES, checksum(file.array())).array();
    }

    private static int checksum(byte[] file) {
        return (int) Payload.of(file)
                .slice(CHECKSUMMED_OFFSET, file.length - CHECKSUMMED_OFFSET)
                .checksum();
    }

    static StoredSnapshot decode(String name, byte[] file) {
        FileHeader.check(name, file);
        if (file.length < MEMBERSHIP_OFFSET || ByteBuffer.wrap(file).getInt(FileHeader.SIZE_BYTES) != checksum(file)) {
            throw new NettleringException(ErrorCode.STORAGE_CORRUPT, "snapshot " + name + " is corrupt");
        }
        ByteBuffer buffer = ByteBuffer.wrap(file).position(CHECKSUMMED_OFFSET);
        long index = buffer.getLong();
        long term = buffer.getLong();
        int membershipSize = buffer.getInt();
        Payload filePayload = Payload.of(file);
        Payload membership = filePayload.slice(MEMBERSHIP_OFFSET, membershipSize);
        int stateOffset = MEMBERSHIP_OFFSET + membershipSize;
        Payload state = filePayload.slice(stateOffset, file.length - stateOffset);
        SnapshotHeader header =
                new SnapshotHeader(index, term, MembershipCodec.decode(membership), state.length(), state.checksum());
        return new StoredSnapshot(header, state);
    }
}
