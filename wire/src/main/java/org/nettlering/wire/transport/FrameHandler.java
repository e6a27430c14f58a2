package org.nettlering.wire.transport;

import java.util.concurrent.CompletionStage;
import org.nettlering.wire.proto.FrameProto.Frame;

/** Answers the frames that other processes send. Implementations are thread-safe and do not block. */
public interface FrameHandler {
    /**
     * Handles a frame that expects a response.
     *
     * @param request the frame with a correlation id, not null
     * @return the response; a {@code NettleringException} becomes a {@code Failure} frame, never null
     */
    CompletionStage<Frame> handleRequest(Frame request);

    /**
     * Handles a frame that expects no response.
     *
     * @param message the frame, not null
     */
    void handleMessage(Frame message);
}
