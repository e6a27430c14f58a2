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
 * The first start of a group.
 *
 * <p>Of the initial members that may found the group, the one with the lowest id creates the first entry, and only after
 * every other initial member has answered that its disk is empty as well. So members that lost their disks found no second
 * group, as long as any initial member has ever heard of the first one; and a member that ended before it could found the
 * group, and may not do so after its restart, leaves that to the next one.
 */
final class Bootstrap {
    /** What the member knows. */
    private final MemberState state;

    /** The members that found the group. */
    private final Membership initialMembers;

    /** The members that answered that their disk is empty. */
    private final Map<MemberId, DiscoveryResponse> emptyDiskResponses = new HashMap<>();

    /** When the others are asked next, by the monotonic clock. */
    private long nextDiscoveryNanos;

    Bootstrap(MemberState state, List<Member> initialMembers) {
        this.state = state;
        this.initialMembers = Membership.of(initialMembers);
        nextDiscoveryNanos = state.time.nanoTime();
    }

    private boolean mayBootstrap() {
        return !state.isInitialised() && initialMembers.find(state.self).isPresent();
    }

    /** Asks the others, and founds the group when it has no others; tells whether it was founded. */
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

    /** Takes an answer and tells whether the group was founded. */
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

    /** Tells whether every other member is empty and none with a lower id may found the group. */
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
