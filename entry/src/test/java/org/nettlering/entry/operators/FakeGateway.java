package org.nettlering.entry.operators;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Function;
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.transport.ControlGateway;

/** Answers each request by a function and keeps what was asked. */
final class FakeGateway implements ControlGateway {
    final List<Frame> requests = new CopyOnWriteArrayList<>();
    final List<Boolean> mayRepeatFlags = new CopyOnWriteArrayList<>();
    final List<Duration> timeouts = new CopyOnWriteArrayList<>();
    volatile Function<Frame, Frame> responder = frame -> Frame.getDefaultInstance();

    @Override
    public CompletionStage<Frame> callLeader(Frame request, boolean mayRepeat, Duration timeout) {
        requests.add(request);
        mayRepeatFlags.add(mayRepeat);
        timeouts.add(timeout);
        return CompletableFuture.supplyAsync(() -> responder.apply(request));
    }

    @Override
    public List<CompletionStage<Frame>> callEveryMember(Frame request, Duration timeout) {
        return List.of(callLeader(request, true, timeout));
    }
}
