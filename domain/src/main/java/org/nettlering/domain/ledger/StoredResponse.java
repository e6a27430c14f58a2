package org.nettlering.domain.ledger;

import java.util.Arrays;
import java.util.List;

/**
 * The response of an upstream, stored so that a repeated request with the same key gets the same response.
 *
 * <p>Immutable and thread-safe.
 */
public final class StoredResponse {
    private final int status;

    /** The headers, without hop-by-hop headers. */
    private final List<StoredHeader> headers;

    /** The body, empty if it was dropped. */
    private final byte[] body;

    private final boolean bodyDropped;

    /**
     * Creates a response with its body.
     *
     * @param status the HTTP status
     * @param headers the headers, not null
     * @param body the body, which is copied, not null
     * @return the response, never null
     */
    public static StoredResponse of(int status, List<StoredHeader> headers, byte[] body) {
        return new StoredResponse(status, headers, body.clone(), false);
    }

    /**
     * Creates a response whose body was dropped.
     *
     * @param status the HTTP status
     * @param headers the headers, not null
     * @return the response, never null
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
     * @return a copy of the body, empty if it was dropped, never null
     */
    public byte[] body() {
        return body.clone();
    }

    /**
     * Returns the length of the stored body.
     *
     * @return the length in bytes
     */
    public int bodyBytes() {
        return body.length;
    }

    /**
     * Returns whether the body was dropped, because it was too large or to free space.
     *
     * @return true when the body is not stored
     */
    public boolean isBodyDropped() {
        return bodyDropped;
    }

    /**
     * Returns a copy without the body.
     *
     * @return the response without its body, never null
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
        return "StoredResponse[status=" + status + ", bodyBytes=" + body.length + ", bodyDropped=" + bodyDropped + "]";
    }
}
