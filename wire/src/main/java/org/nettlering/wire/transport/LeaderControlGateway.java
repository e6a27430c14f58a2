package org.nettlering.wire.transport;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.function.BiFunction;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.wire.proto.FrameProto.Frame;

/**
 * Finds the leader among the control members.
 *
 * <p>Remembers which member answered last, follows the leader that a failure names, and asks the others in turn while a
 * request certainly was not run, or while it may be repeated. Waits a little after each round without a leader.
 * Thread-safe.
 */
public final class LeaderControlGateway implements ControlGateway {
    private static final Duration ROUND_WAIT = Duration.ofMillis(50);

    /** How long one attempt of a request that may be repeated takes at most, unless told otherwise. */
    private static final Duration DEFAULT_ATTEMPT_LIMIT = Duration.ofSeconds(3);

    /** The members that are known. */
    private final ControlMembers members;

    /** Sets the timers. */
    private final TimeSource time;

    /** How long one attempt of a request that may be repeated takes at most. */
    private final Duration attemptLimit;

    /** The member that is believed to lead. */
    private volatile String leader;

    /**
     * Creates a gateway to fixed members.
     *
     * @param members the members by id, at least one, not null
     * @param time sets the timers, not null
     * @return a new gateway, never null
     * @throws NettleringException with {@code INVALID_ARGUMENT} if there are no members
     */
    public static LeaderControlGateway of(Map<String, ? extends Peer> members, TimeSource time) {
        return new LeaderControlGateway(ControlMembers.fixed(members), time, DEFAULT_ATTEMPT_LIMIT);
    }

    /**
     * Creates a gateway that also follows the leader to members and addresses that the settings do not name.
     *
     * @param addresses where the members of the settings listen, by id, at least one, not null
     * @param opener returns the peer with an id at an address, not null
     * @param time sets the timers, not null
     * @return a new gateway, never null
     * @throws NettleringException with {@code INVALID_ARGUMENT} if there are no members
     */
    public static LeaderControlGateway connecting(
            Map<String, InetSocketAddress> addresses,
            BiFunction<String, InetSocketAddress, ? extends Peer> opener,
            TimeSource time) {
        return connecting(addresses, opener, time, DEFAULT_ATTEMPT_LIMIT);
    }

    /**
     * Creates a gateway that follows the leader and asks another member when one does not answer for a while.
     *
     * @param addresses where the members of the settings listen, by id, at least one, not null
     * @param opener returns the peer with an id at an address, not null
     * @param time sets the timers, not null
     * @param attemptLimit how long one attempt of a request that may be repeated takes at most, not null
     * @return a new gateway, never null
     * @throws NettleringException with {@code INVALID_ARGUMENT} if there are no members
     */
    public static LeaderControlGateway connecting(
            Map<String, InetSocketAddress> addresses,
            BiFunction<String, InetSocketAddress, ? extends Peer> opener,
            TimeSource time,
            Duration attemptLimit) {
        return new LeaderControlGateway(ControlMembers.learning(addresses, opener), time, attemptLimit);
    }

    private LeaderControlGateway(ControlMembers members, TimeSource time, Duration attemptLimit) {
        this.members = members;
        this.time = time;
        this.attemptLimit = attemptLimit;
        leader = members.first();
    }

    @Override
    public CompletionStage<Frame> callLeader(Frame request, boolean repeatable, Duration timeout) {
        LeaderCall call = new LeaderCall(request, repeatable, time.nanoTime() + timeout.toNanos());
        call.attempt(leader);
        return call.result;
    }

    @Override
    public List<CompletionStage<Frame>> callEveryMember(Frame request, Duration timeout) {
        List<CompletionStage<Frame>> responses = new ArrayList<>();
        members.peers().forEach(peer -> responses.add(peer.call(request, timeout)));
        return List.copyOf(responses);
    }

    /**
     * Takes note of members that settings name, beside those that are known.
     *
     * @param addresses where the members listen, by id, not null
     */
    public void learn(Map<String, InetSocketAddress> addresses) {
        addresses.forEach((id, address) -> {
            members.keep(id);
            members.learn(id, address.getHostString() + ":" + address.getPort());
        });
    }

    /**
     * Takes note of the present members of the group, and forgets others, unless settings named them or they are believed to lead.
     * The address of a known member stays, as callers may reach it at another one than the members do.
     *
     * @param addresses where the members listen for peers, as IP:PORT, by id; a malformed address is ignored, not null
     */
    public void setPresentMembers(Map<String, String> addresses) {
        Set<String> kept = new HashSet<>(addresses.keySet());
        kept.add(leader);
        members.forgetAllBut(kept);
        addresses.forEach((id, address) -> {
            if (!members.isKnown(id)) {
                members.learn(id, address);
            }
        });
    }

    /**
     * Takes note of a leader that the caller knows of, which is asked first from now on; an unknown member is ignored.
     *
     * @param id the member, not null
     */
    public void setBelievedLeader(String id) {
        if (members.isKnown(id)) {
            leader = id;
        }
    }

    /**
     * Returns the member that is believed to lead.
     *
     * @return the id of a member, never null
     */
    public String believedLeader() {
        return leader;
    }

    /** One request on its way through the members; its attempts come one after the other. */
    private final class LeaderCall {
        /** Receives the response. */
        private final CompletableFuture<Frame> result = new CompletableFuture<>();

        /** The request. */
        private final Frame request;

        /** True when running it twice does no harm. */
        private final boolean repeatable;

        /** When all attempts end, in monotonic time. */
        private final long deadlineNanos;

        /** Attempts since the last wait. */
        private int attemptsInRound;

        /** True once an attempt may have taken effect. */
        private boolean possiblyRun;

        LeaderCall(Frame request, boolean repeatable, long deadlineNanos) {
            this.request = request;
            this.repeatable = repeatable;
            this.deadlineNanos = deadlineNanos;
        }

        void attempt(String member) {
            Duration remaining = Duration.ofNanos(deadlineNanos - time.nanoTime());
            if (remaining.isNegative() || remaining.isZero()) {
                giveUp(null);
                return;
            }
            Peer peer = members.peer(member);
            attemptsInRound++;
            Duration limit = repeatable && remaining.compareTo(attemptLimit) > 0 ? attemptLimit : remaining;
            peer.call(request, limit).whenComplete((response, error) -> {
                if (error == null) {
                    leader = member;
                    result.complete(response);
                    return;
                }
                failed(
                        member,
                        error instanceof CompletionException && error.getCause() != null ? error.getCause() : error);
            });
        }

        private void failed(String member, Throwable error) {
            boolean notRun = FrameFailureException.isNotRun(error);
            possiblyRun |= !notRun;
            if (!(error instanceof NettleringException exception) || !isWorthAnotherMember(exception.code())) {
                refuse(error);
                return;
            }
            if (!notRun && !repeatable) {
                giveUp(error);
                return;
            }
            String next = next(member, error);
            if (attemptsInRound < members.size() + 1) {
                attempt(next);
                return;
            }
            attemptsInRound = 0;
            if (deadlineNanos - time.nanoTime() <= ROUND_WAIT.toNanos()) {
                giveUp(error);
                return;
            }
            time.schedule(ROUND_WAIT, () -> attempt(next));
        }

        private String next(String member, Throwable error) {
            String named = "";
            if (error instanceof FrameFailureException failure) {
                named = failure.leaderId().orElse("");
                members.learn(named, failure.leaderAddress());
            }
            String next = members.isKnown(named) && !named.equals(member) ? named : members.after(member);
            leader = next;
            return next;
        }

        private boolean isWorthAnotherMember(ErrorCode code) {
            return switch (code) {
                case NOT_LEADER, NO_LEADER, STOPPING, CONNECTION_LOST, WRONG_CLUSTER, OUTCOME_UNKNOWN -> true;
                default -> false;
            };
        }

        /** Passes a refusal on, unless it tells of the last attempt alone while an earlier one may have taken effect. */
        private void refuse(Throwable error) {
            boolean attemptAlone =
                    error instanceof NettleringException exception && exception.code() == ErrorCode.OVERLOADED;
            if (possiblyRun && attemptAlone) {
                giveUp(error);
                return;
            }
            result.completeExceptionally(error);
        }

        private void giveUp(@Nullable Throwable cause) {
            String reason = cause == null ? "the timeout passed" : String.valueOf(cause.getMessage());
            if (possiblyRun) {
                String text = "the request may have taken effect: " + reason;
                result.completeExceptionally(new NettleringException(ErrorCode.OUTCOME_UNKNOWN, text));
                return;
            }
            String text = "no control leader took the request: " + reason;
            result.completeExceptionally(new NettleringException(ErrorCode.NO_LEADER, text));
        }
    }
}
