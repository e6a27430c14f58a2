package org.nettlering.wire.transport.link;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.proto.FrameProto.HelloReply;

/** Opens connections that keep what is written; the test decides what arrives. */
final class FakeDialer implements Dialer {
    final List<FakeConnection> connections = new ArrayList<>();

    @Override
    public void dial(ConnectionListener listener) {
        connections.add(new FakeConnection(listener));
    }

    FakeConnection last() {
        return connections.getLast();
    }

    /** One attempt; a swallowing connection takes bytes and never answers. */
    static final class FakeConnection implements Connection {
        final ConnectionListener listener;
        final List<Frame> written = new ArrayList<>();
        boolean writable = true;
        boolean handOver = true;
        boolean closed;

        FakeConnection(ConnectionListener listener) {
            this.listener = listener;
        }

        @Override
        public void write(Frame frame, BooleanSupplier begin) {
            if (handOver && begin.getAsBoolean()) {
                written.add(frame);
            }
        }

        @Override
        public boolean isWritable() {
            return writable;
        }

        @Override
        public void close() {
            closed = true;
        }

        void open() {
            listener.opened(this);
        }

        void greet(String processId) {
            HelloReply reply = HelloReply.newBuilder().setProcessId(processId).build();
            listener.received(Frame.newBuilder().setHelloReply(reply).build());
        }

        void answer(Frame request) {
            listener.received(request.toBuilder().clearPing().build());
        }

        List<Frame> requests() {
            return written.stream()
                    .filter(frame -> frame.getCorrelationId() != 0)
                    .toList();
        }

        long pings() {
            return written.stream().filter(Frame::hasPing).count();
        }
    }
}
