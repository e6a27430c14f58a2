package org.nettlering.consensus;

import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/**
 * One entry of the replicated log.
 *
 * <p>Immutable and thread-safe.
 *
 * @param index the position, from 1
 * @param term the term of the leader that appended it
 * @param kind what the payload is, not null
 * @param payload the command, the encoded membership or nothing, not null
 */
public record LogEntry(long index, long term, Kind kind, Payload payload) {
    /** An estimate of what an entry takes beside its payload, in bytes. */
    public static final int OVERHEAD_BYTES = 32;

    /** What an entry holds. */
    public enum Kind {
        /** Nothing; the first entry of a leader's term. */
        NO_OP(1),
        /** A command for the state machine. */
        COMMAND(2),
        /** A membership. */
        MEMBERSHIP(3);

        /** Stands for the kind in files. */
        private final int code;

        Kind(int code) {
            this.code = code;
        }

        /**
         * Returns the number that stands for the kind in files.
         *
         * @return the code, which never changes
         */
        public int code() {
            return code;
        }

        /**
         * Returns the kind of a code.
         *
         * @param code the number that stands for the kind in files
         * @return the kind, never null
         * @throws NettleringException with {@code STORAGE_CORRUPT} if there is no such kind
         */
        public static Kind ofCode(int code) {
            for (Kind kind : values()) {
                if (kind.code == code) {
                    return kind;
                }
            }
            throw new NettleringException(ErrorCode.STORAGE_CORRUPT, "there is no kind of entry with code " + code);
        }
    }

    /**
     * Returns about how much memory or bandwidth the entry takes.
     *
     * @return the size in bytes
     */
    public int sizeBytes() {
        return payload.length() + OVERHEAD_BYTES;
    }
}
