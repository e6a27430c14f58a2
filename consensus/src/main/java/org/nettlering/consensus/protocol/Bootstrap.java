package org.nettlering.consensus.protocol;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.nettlering.consensus.ConsensusMessage.DiscoveryRequest;
import org.nettlering.consensus.ConsensusMessage.DiscoveryResponse;
import org.nettlering.consensus.LogEntry;
import org.nettlering.consensus.Member;
import org.nettlering.consensus.MemberId;
import org.nettlering.consensus.Membership;

/**
 * Bootstraps a new group: creates its first log entry, which holds the initial membership.
 *
 * <p>A member bootstraps the group once all of the following hold:
 *
 * <ul>
 *   <li>its own disk is uninitialised and it is an initial member;
 *   <li>every other initial member has responded that its disk is uninitialised;
 *   <li>no initial member with a lower id may bootstrap the group.
 * </ul>
 *
 * <p>Members that lost their disks therefore create no second group as long as the disk of any initial member holds a trace
 * of the first one. If a member stops before it has bootstrapped the group and is restarted without the permission to do
 * so, the member with the next id takes its place.
 */
final class Bootstrap {
    private final MemberState state;
    private final Membership initialMembers;

    /** The latest response of each member whose disk is uninitialised. */
    private final Map<MemberId, DiscoveryResponse> emptyDiskResponses = new HashMap<>();

    /** Time of the next discovery requests, by the monotonic clock. */
    private long nextDiscoveryNanos;

    Bootstrap(MemberState state, List<Member> initialMembers) {
        this.state = state;
        this.initialMembers = Membership.of(initialMembers);
        nextDiscoveryNanos = state.time.nanoTime();
    }

    private boolean mayBootstrap() {
        return !state.isInitialised() && initialMembers.find(state.self).isPresent();
    }

    /** Sends discovery requests, or bootstraps a group of one member; returns whether the group was bootstrapped. */
    boolean tick() {
        if (!mayBootstrap() || state.time.nanoTime() - nextDiscoveryNanos < 0) {
            return false;
        }
        nextDiscoveryNanos =
                state.time.nanoTime() + state.settings.heartbeatInterval().toNanos();
        if (isBootstrapMember()) {
            bootstrapGroup();
            return true;
        }
        for (Member member : initialMembers.members()) {
            if (!member.id().equals(state.self)) {
                state.outbox.sendWhenDurable(member.id(), new DiscoveryRequest(state.term, state.diskId));
            }
        }
        return false;
    }

    void receive(MemberId from, DiscoveryRequest request) {
        state.outbox.sendWhenDurable(
                from,
                new DiscoveryResponse(
                        state.term, state.diskId, request.requestingDisk(), state.isInitialised(), mayBootstrap()));
    }

    /** Processes a discovery response; returns whether the group was bootstrapped. */
    boolean receive(MemberId from, DiscoveryResponse response) {
        if (!mayBootstrap() || response.requestingDisk() != state.diskId) {
            return false;
        }
        if (response.initialised()) {
            emptyDiskResponses.remove(from);
            return false;
        }
        emptyDiskResponses.put(from, response);
        if (!isBootstrapMember()) {
            return false;
        }
        bootstrapGroup();
        return true;
    }

    /** Returns whether every other member is uninitialised and no member with a lower id may bootstrap the group. */
    private boolean isBootstrapMember() {
        for (Member member : initialMembers.members()) {
            DiscoveryResponse response = emptyDiskResponses.get(member.id());
            boolean isSelf = member.id().equals(state.self);
            boolean hasLowerId = member.id().compareTo(state.self) < 0;
            if (!isSelf && (response == null || (hasLowerId && response.mayBootstrap()))) {
                return false;
            }
        }
        return true;
    }

    private void bootstrapGroup() {
        List<Member> voters = new ArrayList<>();
        for (Member member : initialMembers.members()) {
            DiscoveryResponse response = emptyDiskResponses.get(member.id());
            voters.add(member.withVote(response == null ? state.diskId : response.diskId()));
        }
        state.term = 1;
        state.saveVote();
        LogEntry firstEntry =
                new LogEntry(1L, state.term, LogEntry.Kind.MEMBERSHIP, MembershipCodec.encode(Membership.of(voters)));
        state.append(List.of(firstEntry));
    }
}
