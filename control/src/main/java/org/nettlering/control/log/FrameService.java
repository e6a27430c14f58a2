package org.nettlering.control.log;

import java.util.concurrent.CompletionStage;
import org.nettlering.wire.proto.FrameProto.Frame;

/** Answers one kind of request frame in the control process. Implementations are thread-safe and do not block. */
@FunctionalInterface
public interface FrameService {
    /**
     * Answers a request.
     *
     * @param request the frame, not null
     * @return the response; a {@code NettleringException} becomes a {@code Failure} frame, never null
     */
    CompletionStage<Frame> handle(Frame request);
}
