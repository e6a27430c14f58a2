package org.nettlering.consensus.storage;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.nettlering.consensus.LogEntry;
import org.nettlering.consensus.MemberId;
import org.nettlering.consensus.Payload;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/** A change to the persistent state of a member, as encoded in a log frame. Immutable. */
sealed interface LogOperation {
    /** The type byte of {@link Vote}. */
    int VOTE_TYPE = 1;

    /** The type byte of {@link Append}. */
    int APPEND_TYPE = 2;

    /** The type byte of {@link Truncate}. */
    int TRUNCATE_TYPE = 3;

    /** The type byte of {@link Reset}. */
    int RESET_TYPE = 4;

    /** Sets the current term and the vote in that term. */
    record Vote(long term, Optional<MemberId> votedFor) implements LogOperation {}

    /** Appends entries to the log. */
    record Append(List<LogEntry> entries) implements LogOperation {}

    /** Removes the entries from an index on. */
    record Truncate(long index) implements LogOperation {}

    /** Removes all entries; the next entry to append follows {@code index}. */
    record Reset(long index) implements LogOperation {}

    default void encode(DataOutputStream output) throws IOException {
        switch (this) {
            case Vote vote -> {
                output.writeByte(VOTE_TYPE);
                output.writeLong(vote.term());
                output.writeUTF(vote.votedFor().map(MemberId::value).orElse(""));
            }
            case Append append -> {
                output.writeByte(APPEND_TYPE);
                encodeEntries(append.entries(), output);
            }
            case Truncate truncate -> {
                output.writeByte(TRUNCATE_TYPE);
                output.writeLong(truncate.index());
            }
            case Reset reset -> {
                output.writeByte(RESET_TYPE);
                output.writeLong(reset.index());
            }
        }
    }

    private static void encodeEntries(List<LogEntry> entries, DataOutputStream output) throws IOException {
        output.writeInt(entries.size());
        for (LogEntry entry : entries) {
            output.writeLong(entry.index());
            output.writeLong(entry.term());
            output.writeByte(entry.kind().code());
            output.writeInt(entry.payload().length());
            output.write(entry.payload().bytes());
        }
    }

    static LogOperation decode(DataInputStream input) throws IOException {
        int type = input.readByte();
        return switch (type) {
            case VOTE_TYPE -> decodeVote(input);
            case APPEND_TYPE -> new Append(decodeEntries(input));
            case TRUNCATE_TYPE -> new Truncate(input.readLong());
            case RESET_TYPE -> new Reset(input.readLong());
            default ->
                throw new NettleringException(
                        ErrorCode.STORAGE_CORRUPT, "the log contains an operation of unknown type " + type);
        };
    }

    private static Vote decodeVote(DataInputStream input) throws IOException {
        long term = input.readLong();
        String votedFor = input.readUTF();
        return new Vote(term, votedFor.isEmpty() ? Optional.empty() : Optional.of(MemberId.of(votedFor)));
    }

    private static List<LogEntry> decodeEntries(DataInputStream input) throws IOException {
        int count = input.readInt();
        List<LogEntry> entries = new ArrayList<>();
        for (int read = 0; read < count; read++) {
            long index = input.readLong();
            long term = input.readLong();
            LogEntry.Kind kind = LogEntry.Kind.ofCode(input.readByte());
            byte[] payload = new byte[input.readInt()];
            input.readFully(payload);
            entries.add(new LogEntry(index, term, kind, Payload.of(payload)));
        }
        return entries;
    }
}
