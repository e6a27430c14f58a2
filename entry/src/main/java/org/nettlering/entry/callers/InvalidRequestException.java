package org.nettlering.entry.callers;

import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/** A caller's request that is refused for its form, with the kind under which it is counted. */
final class InvalidRequestException extends NettleringException {
    private static final long serialVersionUID = 1L;

    /** The kind of fault, for the counter. */
    private final String kind;

    InvalidRequestException(ErrorCode code, String kind, String message) {
        super(code, message);
        this.kind = kind;
    }

    String kind() {
        return kind;
    }
}
