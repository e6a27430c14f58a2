package org.nettlering.consensus;

import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/**
 * The id of a member, unique within its group.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value the id, not blank, not null
 */
public record MemberId(String value) implements Comparable<MemberId> {
    /**
     * Creates an id.
     *
     * @param value the id, not null
     * @throws NettleringException with {@code INVALID_ARGUMENT} if it is blank
     */
    public MemberId {
        if (value.isBlank()) {
            throw new NettleringException(ErrorCode.INVALID_ARGUMENT, "the id of a member must not be blank");
        }
    }

    /**
     * Returns the id with the given value.
     *
     * @param value the id, not blank, not null
     * @return the id, never null
     * @throws NettleringException with {@code INVALID_ARGUMENT} if it is blank
     */
    public static MemberId of(String value) {
        return new MemberId(value);
    }

    @Override
    public int compareTo(MemberId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
