package org.nettlering.consensus;

import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/**
 * One entry of the replicated log.
 *
 * <p>Immutable and thread-safe.
 *
 * @param index the position in the log, from 1
 * @param term the term of the leader that appended it
 * @param kind the kind of the payload, not null
 * @param payload the command, the encoded membership, or empty, not null
 */
public record LogEntry(long index, long term, Kind kind, Payload payload) {
    /** Estimated size of an entry without its payload. */
    public static final int OVERHEAD_BYTES = 32;

    /** The kind of an entry. */
    public enum Kind {
        /** No operation: the first entry of a leader's term. */
        NO_OP(1),
        /** A command for the state machine. */
        COMMAND(2),
        /** A membership. */
        MEMBERSHIP(3);

        private final int code;

        Kind(int code) {
            this.code = code;
        }

        /**
         * Returns the number that identifies the kind in files.
         *
         * @return the code, which never changes
         */
        public int code() {
            return code;
        }

        /**
         * Returns the kind with the given code.
         *
         * @param code the number that identifies the kind in files
         * @return the kind, never null
         * @throws NettleringException with {@code STORAGE_CORRUPT} if there is no such kind
         */
        public static Kind ofCode(int code) {
            for (Kind kind : values()) {
                if (kind.code == code) {
                    return kind;
                }
            }
            throw new NettleringException(ErrorCode.STORAGE_CORRUPT, "unknown kind of log entry: code " + code);
        }
    }

    /**
     * Returns the approximate size of the entry in memory or in a message.
     *
     * @return the size in bytes
     */
    public int sizeBytes() {
        return payload.length() + OVERHEAD_BYTES;
    }
}
