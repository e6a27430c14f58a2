package org.nettlering.wire.transport.link;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.DoubleSupplier;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.proto.FrameProto.Hello;
import org.nettlering.wire.proto.FrameProto.HelloReply;
import org.nettlering.wire.proto.FrameProto.Ping;
import org.nettlering.wire.transport.FrameFailureException;
import org.nettlering.wire.transport.Peer;
import org.nettlering.wire.transport.TransportLimits;

/**
 * A peer over one connection, which is made at first use and replaced when it ends or goes silent.
 *
 * <p>Calls wait while the connection is being made, and fail at once with {@code CONNECTION_LOST} while the link waits
 * after a failed attempt. A connection is silent when as many ping intervals passed without a frame as
 * {@link TransportLimits#silentIntervals()} says; intervals are counted, not clock time, so that a pause of this process
 * is no silence. Thread-safe; listeners, connections and responses are called without the lock.
 */
public final class PeerLink implements Peer, AutoCloseable {
    /** The version of the protocol; both sides must speak the same. */
    public static final int PROTOCOL_VERSION = 1;

    /** What the link is doing. */
    private enum State {
        IDLE,
        CONNECTING,
        OPEN,
        BACKING_OFF,
        CLOSED
    }

    /** Guards the fields below. */
    private final ReentrantLock lock = new ReentrantLock();

    /** The first frame of each connection. */
    private final Hello hello;

    /** The id that the peer must have, empty if any will do. */
    private final String expectedPeerId;

    /** Opens connections. */
    private final Dialer dialer;

    /** Sets the timers. */
    private final TimeSource time;

    /** The bounds and periods. */
    private final TransportLimits limits;

    /** Hears of what the link does. */
    private final PeerLinkListener listener;

    /** The waits after failed attempts. */
    private final BackOff backOff;

    /** Calls without a response, by correlation id. */
    private final Map<Long, PendingCall> calls = new LinkedHashMap<>();

    /** Messages that wait for the connection. */
    private final List<Frame> waitingMessages = new ArrayList<>();

    /** The state. */
    private State state = State.IDLE;

    /** The current connection attempt; events of earlier ones are ignored. */
    private long attempt;

    /** The current connection, from when it opened. */
    private @Nullable Connection connection;

    /** The correlation id of the next call. */
    private long nextCorrelation = 1;

    /** True once the current connection outlived a ping interval; only then is its loss no failed attempt. */
    private boolean proven;

    /** Ping intervals since the last frame arrived. */
    private int quietIntervals;

    /** Why the last attempt failed. */
    private NettleringException lastFailure = new NettleringException(ErrorCode.CONNECTION_LOST, "never connected");

    /**
     * Creates a link that is not connected yet.
     *
     * @param hello the first frame of each connection, not null
     * @param expectedPeerId the id that the peer must have, empty if any will do, not null
     * @param dialer opens connections, not null
     * @param time sets the timers, not null
     * @param random gives the jitter of the back-off, from 0 to 1, not null
     * @param limits the bounds and periods, not null
     * @param listener hears of what the link does, not null
     */
    public PeerLink(
            Hello hello,
            String expectedPeerId,
            Dialer dialer,
            TimeSource time,
            DoubleSupplier random,
            TransportLimits limits,
            PeerLinkListener listener) {
        this.hello = hello;
        this.expectedPeerId = expectedPeerId;
        this.dialer = dialer;
        this.time = time;
        this.limits = limits;
        this.listener = listener;
        backOff = new BackOff(limits.minBackOff(), limits.maxBackOff(), random);
    }

    @Override
    public CompletionStage<Frame> call(Frame request, Duration timeout) {
        NettleringException refusal;
        PendingCall call;
        long id;
        Connection target;
        boolean dial;
        lock.lock();
        try {
            id = nextCorrelation++;
            call = new PendingCall(request.toBuilder().setCorrelationId(id).build());
            refusal = refusal(call.request());
            if (refusal == null) {
                calls.put(id, call);
            }
            target = state == State.OPEN ? connection : null;
            dial = refusal == null && state == State.IDLE;
            if (dial) {
                state = State.CONNECTING;
            }
        } finally {
            lock.unlock();
        }
        if (refusal != null) {
            return CompletableFuture.failedFuture(refusal);
        }
        startTimer(id, call, timeout);
        if (dial) {
            connect();
        }
        if (target != null) {
            target.write(call.request(), () -> begin(id));
        }
        return call.response();
    }

    @Override
    public void send(Frame message) {
        Connection target = null;
        boolean dial = false;
        boolean dropped = false;
        lock.lock();
        try {
            if (state == State.OPEN && connection != null && connection.isWritable()) {
                target = connection;
            } else if (state == State.OPEN || state == State.BACKING_OFF || state == State.CLOSED) {
                dropped = true;
            } else if (waitingMessages.size() >= limits.maxPendingCalls()) {
                dropped = true;
            } else {
                waitingMessages.add(message);
                dial = state == State.IDLE;
            }
            if (dial) {
                state = State.CONNECTING;
            }
        } finally {
            lock.unlock();
        }
        if (dropped) {
            listener.messageDropped();
        }
        if (dial) {
            connect();
        }
        if (target != null) {
            target.write(message, () -> true);
        }
    }

    /** Closes the connection for good and fails what waits. */
    @Override
    public void close() {
        end(0, State.CLOSED, new NettleringException(ErrorCode.CONNECTION_LOST, "the peer was closed"));
    }

    /**
     * Tells whether the handshake of the current connection is done.
     *
     * @return true when a call would be written at once
     */
    public boolean isOpen() {
        lock.lock();
        try {
            return state == State.OPEN;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns how many calls wait for a response.
     *
     * @return the number of calls, at most {@link TransportLimits#maxPendingCalls()}
     */
    public int pendingCalls() {
        lock.lock();
        try {
            return calls.size();
        } finally {
            lock.unlock();
        }
    }

    private @Nullable NettleringException refusal(Frame request) {
        if (request.getSerializedSize() > limits.maxFrameBytes()) {
            return new NettleringException(
                    ErrorCode.TOO_LARGE, "a frame of " + request.getSerializedSize() + " bytes is too large");
        }
        if (state == State.CLOSED || state == State.BACKING_OFF) {
            return lastFailure;
        }
        if (calls.size() >= limits.maxPendingCalls()) {
            return new NettleringException(ErrorCode.OVERLOADED, calls.size() + " calls to the peer are pending");
        }
        if (state == State.OPEN && connection != null && !connection.isWritable()) {
            return new NettleringException(ErrorCode.OVERLOADED, "the outbound queue to the peer is full");
        }
        return null;
    }

    private void startTimer(long id, PendingCall call, Duration timeout) {
        TimeSource.Timer timer = time.schedule(timeout, () -> expire(id, timeout));
        lock.lock();
        try {
            call.timer(timer);
        } finally {
            lock.unlock();
        }
        if (call.response().isDone()) {
            timer.cancel();
        }
    }

    private boolean begin(long id) {
        lock.lock();
        try {
            PendingCall call = calls.get(id);
            if (call == null) {
                return false;
            }
            call.begin();
            return true;
        } finally {
            lock.unlock();
        }
    }

    private void expire(long id, Duration timeout) {
        PendingCall call = take(id);
        if (call != null) {
            call.response().completeExceptionally(call.lost("no response within " + timeout.toMillis() + " ms"));
        }
    }

    private @Nullable PendingCall take(long id) {
        lock.lock();
        try {
            PendingCall call = calls.remove(id);
            if (call != null) {
                call.cancelTimer();
            }
            return call;
        } finally {
            lock.unlock();
        }
    }

    private void connect() {
        long number;
        lock.lock();
        try {
            if (state != State.CONNECTING) {
                return;
            }
            attempt++;
            number = attempt;
            quietIntervals = 0;
            proven = false;
            connection = null;
        } finally {
            lock.unlock();
        }
        time.schedule(limits.pingInterval(), () -> tick(number));
        dialer.dial(new AttemptListener(number));
    }

    private void tick(long number) {
        Connection target;
        boolean silent;
        boolean ping;
        lock.lock();
        try {
            if (number != attempt || (state != State.CONNECTING && state != State.OPEN)) {
                return;
            }
            quietIntervals++;
            silent = quietIntervals >= limits.silentIntervals();
            ping = !silent && state == State.OPEN;
            target = connection;
            if (ping && !proven) {
                proven = true;
                backOff.succeeded();
            }
        } finally {
            lock.unlock();
        }
        if (silent) {
            listener.silent(limits.pingInterval().multipliedBy(limits.silentIntervals()));
            disconnected(number, "the connection went silent");
            return;
        }
        if (ping && target != null) {
            target.write(Frame.newBuilder().setPing(Ping.getDefaultInstance()).build(), () -> true);
        }
        time.schedule(limits.pingInterval(), () -> tick(number));
    }

    private void handshakeDone(long number, HelloReply reply) {
        if (!expectedPeerId.isEmpty() && !expectedPeerId.equals(reply.getProcessId())) {
            String text = "it is process \"" + reply.getProcessId() + "\", not \"" + expectedPeerId + "\"";
            refusedByPeer(number, new NettleringException(ErrorCode.WRONG_CLUSTER, text));
            return;
        }
        List<Runnable> writes = new ArrayList<>();
        lock.lock();
        try {
            Connection target = connection;
            if (number != attempt || state != State.CONNECTING || target == null) {
                return;
            }
            state = State.OPEN;
            waitingMessages.forEach(message -> writes.add(() -> target.write(message, () -> true)));
            waitingMessages.clear();
            calls.forEach((id, call) -> writes.add(() -> target.write(call.request(), () -> begin(id))));
        } finally {
            lock.unlock();
        }
        listener.connected();
        writes.forEach(Runnable::run);
    }

    private void refusedByPeer(long number, NettleringException refusal) {
        listener.refused(String.valueOf(refusal.getMessage()));
        failed(number, refusal);
    }

    private void disconnected(long number, String reason) {
        boolean wasProven;
        lock.lock();
        try {
            if (number != attempt) {
                return;
            }
            wasProven = state == State.OPEN && proven;
        } finally {
            lock.unlock();
        }
        NettleringException failure = new NettleringException(ErrorCode.CONNECTION_LOST, reason);
        if (!wasProven) {
            failed(number, failure);
            return;
        }
        if (end(number, State.CONNECTING, failure)) {
            listener.disconnected(reason);
            connect();
        }
    }

    private void failed(long number, NettleringException failure) {
        Duration wait;
        lock.lock();
        try {
            if (number != attempt || state == State.BACKING_OFF || state == State.CLOSED) {
                return;
            }
            wait = backOff.failed();
        } finally {
            lock.unlock();
        }
        if (end(number, State.BACKING_OFF, failure)) {
            listener.unreachable(String.valueOf(failure.getMessage()));
            time.schedule(wait, this::retry);
        }
    }

    private void retry() {
        lock.lock();
        try {
            if (state != State.BACKING_OFF) {
                return;
            }
            state = State.CONNECTING;
        } finally {
            lock.unlock();
        }
        connect();
    }

    /** Leaves the given attempt, or any if closing, fails the calls on it and enters the next state. */
    private boolean end(long number, State next, NettleringException failure) {
        Connection ended;
        List<PendingCall> lost;
        lock.lock();
        try {
            if (state == State.CLOSED || (next != State.CLOSED && number != attempt)) {
                return false;
            }
            state = next;
            attempt++;
            lastFailure = failure;
            ended = connection;
            connection = null;
            lost = new ArrayList<>(calls.values());
            calls.clear();
            waitingMessages.clear();
            lost.forEach(PendingCall::cancelTimer);
        } finally {
            lock.unlock();
        }
        if (ended != null) {
            ended.close();
        }
        lost.forEach(call -> call.response().completeExceptionally(call.lost(failure)));
        return true;
    }

    /** Hears of one connection attempt. */
    private final class AttemptListener implements ConnectionListener {
        /** The number of the attempt. */
        private final long number;

        AttemptListener(long number) {
            this.number = number;
        }

        @Override
        public void opened(Connection newConnection) {
            boolean current;
            lock.lock();
            try {
                current = number == attempt && state == State.CONNECTING;
                if (current) {
                    connection = newConnection;
                }
            } finally {
                lock.unlock();
            }
            if (!current) {
                newConnection.close();
                return;
            }
            newConnection.write(Frame.newBuilder().setHello(hello).build(), () -> true);
        }

        @Override
        public void received(Frame frame) {
            if (!heard()) {
                return;
            }
            if (frame.hasHelloReply()) {
                handshakeDone(number, frame.getHelloReply());
                return;
            }
            if (frame.hasPong()) {
                return;
            }
            if (frame.getCorrelationId() == 0 && frame.hasFailure()) {
                refusedByPeer(number, FrameFailureException.from(frame.getFailure()));
                return;
            }
            answer(frame);
        }

        @Override
        public void closed(String reason) {
            disconnected(number, reason);
        }

        private boolean heard() {
            lock.lock();
            try {
                quietIntervals = 0;
                return number == attempt;
            } finally {
                lock.unlock();
            }
        }

        private void answer(Frame frame) {
            PendingCall call = take(frame.getCorrelationId());
            if (call == null) {
                listener.lateResponse();
                return;
            }
            if (frame.hasFailure()) {
                call.response().completeExceptionally(FrameFailureException.from(frame.getFailure()));
                return;
            }
            call.response().complete(frame);
        }
    }
}
