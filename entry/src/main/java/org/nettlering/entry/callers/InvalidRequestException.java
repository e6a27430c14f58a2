package org.nettlering.entry.callers;

import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/** Thrown when a caller's request is malformed or exceeds a limit. */
final class InvalidRequestException extends NettleringException {
    private static final long serialVersionUID = 1L;

    /** The value of the {@code kind} label of the metric of invalid input. */
    private final String kind;

    InvalidRequestException(ErrorCode code, String kind, String message) {
        super(code, message);
        this.kind = kind;
    }

    String kind() {
        return kind;
    }
}
