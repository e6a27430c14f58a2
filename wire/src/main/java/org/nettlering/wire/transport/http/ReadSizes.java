package org.nettlering.wire.transport.http;

import io.netty.channel.DefaultMaxMessagesRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;

/**
 * How many bytes a connection reads before others have their turn.
 *
 * <p>Grows while a client sends more than was read, and falls for a client whose chunks are so small that their number costs
 * more than their bytes. Confined to the event loop of the connection.
 */
final class ReadSizes extends DefaultMaxMessagesRecvByteBufAllocator {
    /** Enough for the head and body of most requests, in bytes. */
    private static final int INITIAL_BYTES = 2 * 1024;

    private static final int MAX_BYTES = 8 * 1024;

    private static final int BYTES_WITH_SMALL_CHUNKS = 512;

    /** More chunks than this in one read are small. */
    private static final int MAX_CHUNKS_A_READ = 64;

    private int nextBytes = INITIAL_BYTES;
    private int chunks;

    ReadSizes() {
        super(1);
    }

    @Override
    @SuppressWarnings(
            "deprecation") // The interface of Netty that replaces it is extended by the class that this one extends.
    public RecvByteBufAllocator.Handle newHandle() {
        return new MaxMessageHandle() {
            @Override
            public int guess() {
                return nextBytes;
            }
        };
    }

    void beginRequest() {
        nextBytes = INITIAL_BYTES;
        chunks = 0;
    }

    void countChunk() {
        chunks++;
    }

    /** Decides on the next read by what the last one brought. */
    void recordRead(int bytes) {
        if (chunks > MAX_CHUNKS_A_READ) {
            nextBytes = BYTES_WITH_SMALL_CHUNKS;
        } else if (bytes >= nextBytes && nextBytes >= INITIAL_BYTES) {
            nextBytes = Math.min(MAX_BYTES, nextBytes * 2);
        }
        chunks = 0;
    }
}
