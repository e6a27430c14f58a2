package org.nettlering.consensus;

import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/**
 * The name of a member of the group, unique within it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value the name, not blank, not null
 */
public record MemberId(String value) implements Comparable<MemberId> {
    /**
     * Creates an id.
     *
     * @param value the name, not null
     * @throws NettleringException with {@code INVALID_ARGUMENT} if the name is blank
     */
    public MemberId {
        if (value.isBlank()) {
            throw new NettleringException(ErrorCode.INVALID_ARGUMENT, "the id of a member is blank");
        }
    }

    /**
     * Returns the id with a name.
     *
     * @param value the name, not blank, not null
     * @return the id, never null
     * @throws NettleringException with {@code INVALID_ARGUMENT} if the name is blank
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
