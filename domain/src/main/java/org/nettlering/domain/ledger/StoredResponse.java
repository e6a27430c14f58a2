package org.nettlering.domain.ledger;

import java.util.Arrays;
import java.util.List;

/**
 * An upstream's answer that is kept for resends of the same request.
 *
 * <p>Immutable and thread-safe.
 */
public final class StoredResponse {
    /** The HTTP status. */
    private final int status;

    /** The headers, without those of a single hop. */
    private final List<StoredHeader> headers;

    /** The body, empty when it was dropped. */
    private final byte[] body;

    /** True when the body was too large to keep. */
    private final boolean bodyDropped;

    /**
     * Creates an answer with its body.
     *
     * @param status the HTTP status
     * @param headers the headers, not null
     * @param body the body, not null
     * @return the answer, never null
     */
    public static StoredResponse of(int status, List<StoredHeader> headers, byte[] body) {
        return new StoredResponse(status, headers, body.clone(), false);
    }

    /**
     * Creates an answer whose body is not kept.
     *
     * @param status the HTTP status
     * @param headers the headers, not null
     * @return the answer, never null
     */
    public static StoredResponse withoutBody(int status, List<StoredHeader> headers) {
        return new StoredResponse(status, headers, new byte[0], true);
    }

    private StoredResponse(int status, List<StoredHeader> headers, byte[] body, boolean bodyDropped) {
        this.status = status;
        this.headers = List.copyOf(headers);
        this.body = body;
        this.bodyDropped = bodyDropped;
    }

    /**
     * Returns the HTTP status.
     *
     * @return the status
     */
    public int status() {
        return status;
    }

    /**
     * Returns the headers.
     *
     * @return the headers, never null
     */
    public List<StoredHeader> headers() {
        return headers;
    }

    /**
     * Returns the body.
     *
     * @return a copy of the body, empty when it was dropped, never null
     */
    public byte[] body() {
        return body.clone();
    }

    /**
     * Returns the length of the body.
     *
     * @return the length in bytes
     */
    public int bodyBytes() {
        return body.length;
    }

    /**
     * Tells whether the body was too large to keep.
     *
     * @return true when the body is missing
     */
    public boolean isBodyDropped() {
        return bodyDropped;
    }

    /**
     * Returns a copy without the body.
     *
     * @return the answer without body, never null
     */
    public StoredResponse withBodyDropped() {
        return withoutBody(status, headers);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof StoredResponse that
                && status == that.status
                && bodyDropped == that.bodyDropped
                && headers.equals(that.headers)
                && Arrays.equals(body, that.body);
    }

    @Override
    public int hashCode() {
        return 31 * status + Arrays.hashCode(body);
    }

    @Override
    public String toString() {
        return "KeptAnswer[status=" + status + ", bodyBytes=" + body.length + ", bodyDropped=" + bodyDropped + "]";
    }
}
