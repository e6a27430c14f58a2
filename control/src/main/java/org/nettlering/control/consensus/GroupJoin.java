package org.nettlering.control.consensus;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.nettlering.consensus.ConsensusNode;
import org.nettlering.consensus.ConsensusStatus;
import org.nettlering.consensus.Member;
import org.nettlering.consensus.MemberId;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.runtime.log.EventLogger;
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.proto.MembershipProto.AddMember;
import org.nettlering.wire.proto.MembershipProto.MembershipRequest;
import org.nettlering.wire.transport.ControlGateway;

/**
 * Asks the group to take a member in that it does not list.
 *
 * <p>Goes on until the member finds itself in the membership: a learner first, which gets its vote when it has caught up. A
 * member whose folder was emptied is still listed and is only found again. A member that knows no leader asks as well: it
 * may have been removed while it was unreachable, which it cannot see in its own log. So does one whose log does not list
 * the leader that it hears, because the leader joined while this member was unreachable.
 *
 * <p>The members that the group names in its response are passed on: a member learns only from them where to send its
 * answers to a leader that neither its log nor its settings name, and without answers its log does not grow. Thread-safe.
 */
public final class GroupJoin implements AutoCloseable {
    /** How often the member asks. */
    private static final Duration INTERVAL = Duration.ofMillis(500);

    /** How long one request may take. */
    private static final Duration TIMEOUT = Duration.ofMillis(1_500);

    private static final EventLogger LOG = EventLogger.of(GroupJoin.class);

    /** The member of this process. */
    private final ConsensusNode node;

    /** How the group is to list it. */
    private final Member self;

    /** The way to the leader. */
    private final ControlGateway gateway;

    /** Receives the members that the group names. */
    private final Consumer<List<Member>> namedMembers;

    /** Sets the timers. */
    private final TimeSource time;

    /** The next attempt. */
    private volatile TimeSource.@Nullable Timer timer;

    /** Whether the attempts have ended. */
    private volatile boolean closed;

    /**
     * Starts asking.
     *
     * @param node the member of this process, not null
     * @param self how the group is to list it, not null
     * @param gateway the way to the leader, not null
     * @param namedMembers receives the members that the group names, as learners whatever they are, not null
     * @param time sets the timers, not null
     * @return the running attempts, never null
     */
    public static GroupJoin start(
            ConsensusNode node,
            Member self,
            ControlGateway gateway,
            Consumer<List<Member>> namedMembers,
            TimeSource time) {
        GroupJoin join = new GroupJoin(node, self, gateway, namedMembers, time);
        join.scheduleNext();
        return join;
    }

    private GroupJoin(
            ConsensusNode node,
            Member self,
            ControlGateway gateway,
            Consumer<List<Member>> namedMembers,
            TimeSource time) {
        this.node = node;
        this.self = self;
        this.gateway = gateway;
        this.namedMembers = namedMembers;
        this.time = time;
    }

    private void scheduleNext() {
        if (!closed) {
            timer = time.schedule(INTERVAL, this::attempt);
        }
    }

    private void attempt() {
        Optional<ConsensusStatus> status = node.status();
        boolean listed = status.filter(this::listsSelf).isPresent();
        if (listed && status.filter(GroupJoin::listsLeader).isPresent()) {
            scheduleNext();
            return;
        }
        AddMember add = AddMember.newBuilder()
                .setMemberId(self.id().value())
                .setAddress(self.address())
                .setFailureDomain(self.failureDomain())
                .build();
        Frame request = Frame.newBuilder()
                .setMembershipRequest(MembershipRequest.newBuilder().setAdd(add))
                .build();
        call(request).whenComplete((response, failure) -> {
            try {
                finishAttempt(listed, response, failure);
            } finally {
                scheduleNext();
            }
        });
    }

    private CompletionStage<Frame> call(Frame request) {
        try {
            return gateway.callLeader(request, true, TIMEOUT);
        } catch (RuntimeException exception) {
            return CompletableFuture.failedFuture(exception);
        }
    }

    private void finishAttempt(boolean listed, @Nullable Frame response, @Nullable Throwable failure) {
        if (response != null) {
            namedMembers.accept(response.getMembershipResponse().getMembersList().stream()
                    .map(member -> Member.learner(
                            MemberId.of(member.getMemberId()), member.getAddress(), member.getFailureDomain()))
                    .toList());
        }
        if (listed) {
            return;
        }
        if (failure == null) {
            LOG.log(ConsensusEvent.JOIN_ACCEPTED, self.id());
        } else {
            LOG.log(ConsensusEvent.JOIN_REFUSED, self.id(), String.valueOf(failure.getMessage()));
        }
    }

    private boolean listsSelf(ConsensusStatus status) {
        return status.membership().find(self.id()).isPresent();
    }

    private static boolean listsLeader(ConsensusStatus status) {
        return status.leader().flatMap(status.membership()::find).isPresent();
    }

    /** Ends the attempts. */
    @Override
    public void close() {
        closed = true;
        TimeSource.Timer pending = timer;
        if (pending != null) {
            pending.cancel();
        }
    }
}
