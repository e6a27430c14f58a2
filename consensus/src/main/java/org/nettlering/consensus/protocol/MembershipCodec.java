package org.nettlering.consensus.protocol;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import org.nettlering.consensus.Member;
import org.nettlering.consensus.MemberId;
import org.nettlering.consensus.Membership;
import org.nettlering.consensus.Payload;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/** Encodes memberships for log entries, snapshots and messages. */
public final class MembershipCodec {
    private MembershipCodec() {}

    /**
     * Encodes a membership.
     *
     * @param membership the membership, not null
     * @return the encoded membership, never null
     */
    public static Payload encode(Membership membership) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream output = new DataOutputStream(bytes)) {
            output.writeInt(membership.members().size());
            for (Member member : membership.members()) {
                output.writeUTF(member.id().value());
                output.writeUTF(member.address());
                output.writeUTF(member.failureDomain());
                output.writeLong(member.diskId());
                output.writeBoolean(member.voting());
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return Payload.of(bytes.toByteArray());
    }

    /**
     * Decodes a membership.
     *
     * @param payload the encoded membership, not null
     * @return the membership, never null
     * @throws NettleringException with {@code STORAGE_CORRUPT} if the payload is not an encoded membership
     */
    public static Membership decode(Payload payload) {
        try (DataInputStream input = new DataInputStream(new ByteArrayInputStream(payload.bytes()))) {
            int count = input.readInt();
            List<Member> members = new ArrayList<>();
            for (int read = 0; read < count; read++) {
                MemberId id = MemberId.of(input.readUTF());
                members.add(new Member(id, input.readUTF(), input.readUTF(), input.readLong(), input.readBoolean()));
            }
            return Membership.of(members);
        } catch (IOException e) {
            throw new NettleringException(ErrorCode.STORAGE_CORRUPT, "an encoded membership is truncated", e);
        }
    }
}
