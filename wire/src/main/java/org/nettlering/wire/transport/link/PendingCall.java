package org.nettlering.wire.transport.link;

import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.wire.proto.FrameProto.Frame;

/** A request that waits for its response; guarded by the lock of its {@link PeerLink}. */
final class PendingCall {
    /** The request with its correlation id. */
    private final Frame request;

    /** Receives the response. */
    private final CompletableFuture<Frame> response = new CompletableFuture<>();

    /** True once the first byte may have been handed over. */
    private boolean begun;

    /** Ends the call when its timeout passes. */
    private TimeSource.@Nullable Timer timer;

    PendingCall(Frame request) {
        this.request = request;
    }

    Frame request() {
        return request;
    }

    CompletableFuture<Frame> response() {
        return response;
    }

    void begin() {
        begun = true;
    }

    void timer(TimeSource.Timer newTimer) {
        timer = newTimer;
    }

    void cancelTimer() {
        if (timer != null) {
            timer.cancel();
        }
    }

    /** Returns what a passed timeout means for this call. */
    NettleringException lost(String reason) {
        return lost(new NettleringException(ErrorCode.CONNECTION_LOST, reason));
    }

    /** Returns what the end of the connection means for this call. */
    NettleringException lost(NettleringException failure) {
        if (begun) {
            String text = failure.getMessage() + "; the request may have taken effect";
            return new NettleringException(ErrorCode.OUTCOME_UNKNOWN, text, failure);
        }
        return new NettleringException(failure.code(), failure.getMessage() + "; the request was not sent", failure);
    }
}
