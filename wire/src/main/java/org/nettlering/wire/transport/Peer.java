package org.nettlering.wire.transport;

import java.time.Duration;
import java.util.concurrent.CompletionStage;
import org.nettlering.wire.proto.FrameProto.Frame;

/**
 * Another process of the system, reached over one connection that is replaced when it fails or goes silent.
 *
 * <p>Implementations are thread-safe.
 */
public interface Peer {
    /**
     * Sends a request and waits for its response.
     *
     * <p>Fails with {@code CONNECTION_LOST} only when no byte of the request was written, with {@code OUTCOME_UNKNOWN}
     * when the connection was lost or the timeout passed after that, and with the code of the peer's {@code Failure}.
     *
     * @param request the frame; the correlation id is set by the peer, not null
     * @param timeout how long to wait for the response, not null
     * @return the response, never null
     */
    CompletionStage<Frame> call(Frame request, Duration timeout);

    /**
     * Sends a message that expects no response; it may be lost.
     *
     * @param message the frame, not null
     */
    void send(Frame message);
}
