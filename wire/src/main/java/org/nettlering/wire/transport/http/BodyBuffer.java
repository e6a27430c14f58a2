package org.nettlering.wire.transport.http;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * The bytes of a body that is being received, in one array that grows with them.
 *
 * <p>Takes its memory from a share before it allocates it. Not thread-safe.
 */
final class BodyBuffer {
    private static final int INITIAL_BYTES = 1_024;

    private static final byte[] NOTHING = {};

    private final RequestMemory.Share share;

    /** The largest size that the body can have, in bytes. */
    private final int maxBytes;

    private byte[] bytes = NOTHING;
    private int length;

    BodyBuffer(RequestMemory.Share share, int maxBytes) {
        this.share = share;
        this.maxBytes = maxBytes;
    }

    /** Appends a chunk that fits into the maximum; returns false if there is no memory for it. */
    boolean append(Buffer chunk) {
        int newLength = length + chunk.length();
        if (newLength > bytes.length && !grow(newLength)) {
            return false;
        }
        chunk.getBytes(bytes, length);
        length = newLength;
        return true;
    }

    private boolean grow(int newLength) {
        int capacity = Math.max(newLength, Math.min(maxBytes, Math.max(INITIAL_BYTES, bytes.length * 2)));
        if (!share.resize(capacity)) {
            return false;
        }
        bytes = Arrays.copyOf(bytes, capacity);
        return true;
    }

    /** Returns the text and forgets the bytes. */
    String takeText() {
        String text = new String(bytes, 0, length, StandardCharsets.UTF_8);
        bytes = NOTHING;
        length = 0;
        return text;
    }
}
