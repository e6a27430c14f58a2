package org.nettlering.control.consensus;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.nettlering.consensus.ConsensusNode;
import org.nettlering.consensus.ConsensusStatus;
import org.nettlering.consensus.Member;
import org.nettlering.consensus.MemberId;
import org.nettlering.control.log.FrameService;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.runtime.settings.Addresses;
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.proto.MembershipProto.AddMember;
import org.nettlering.wire.proto.MembershipProto.MemberStatus;
import org.nettlering.wire.proto.MembershipProto.MembershipRequest;
import org.nettlering.wire.proto.MembershipProto.MembershipResponse;

/** Answers operators' requests about the control members and changes them. Thread-safe. */
public final class MembershipService implements FrameService {
    /** The member of this process. */
    private final ConsensusNode node;

    /** What the member saw of elections. */
    private final LeadershipHistory history;

    /**
     * Creates a service.
     *
     * @param node the member of this process, not null
     * @param history what the member saw of elections, not null
     * @return the service, never null
     */
    public static MembershipService of(ConsensusNode node, LeadershipHistory history) {
        return new MembershipService(node, history);
    }

    private MembershipService(ConsensusNode node, LeadershipHistory history) {
        this.node = node;
        this.history = history;
    }

    @Override
    public CompletionStage<Frame> handle(Frame request) {
        try {
            return change(request.getMembershipRequest())
                    .thenApply(done -> Frame.newBuilder()
                            .setCorrelationId(request.getCorrelationId())
                            .setMembershipResponse(describe())
                            .build());
        } catch (NettleringException exception) {
            return CompletableFuture.failedFuture(exception);
        }
    }

    private CompletableFuture<Void> change(MembershipRequest request) {
        return switch (request.getRequestCase()) {
            case LIST -> node.readIndex();
            case ADD -> add(request.getAdd());
            case REMOVE -> node.removeMember(MemberId.of(request.getRemove().getMemberId()));
            case TRANSFER ->
                node.transferLeadership(Optional.of(request.getTransfer().getMemberId())
                        .filter(id -> !id.isBlank())
                        .map(MemberId::of));
            case REQUEST_NOT_SET ->
                CompletableFuture.failedFuture(
                        new NettleringException(ErrorCode.INVALID_ARGUMENT, "the membership request is empty"));
        };
    }

    /** Checks the member before it reaches the log, from where all members would try to connect to it. */
    private CompletableFuture<Void> add(AddMember request) {
        if (request.getFailureDomain().isBlank()) {
            throw new NettleringException(ErrorCode.INVALID_ARGUMENT, "a member needs a failure domain");
        }
        InetSocketAddress _ = Addresses.parse(request.getAddress());
        return node.addMember(
                Member.learner(MemberId.of(request.getMemberId()), request.getAddress(), request.getFailureDomain()));
    }

    private MembershipResponse describe() {
        Optional<ConsensusStatus> known = node.status();
        return known.map(MembershipService::describe)
                .orElseGet(MembershipResponse::newBuilder)
                .addAllLeaderChanges(history.changes())
                .build();
    }

    private static MembershipResponse.Builder describe(ConsensusStatus status) {
        Map<MemberId, ConsensusStatus.Progress> progress = new HashMap<>();
        status.progress().forEach(each -> progress.put(each.id(), each));
        List<MemberStatus> members = new ArrayList<>();
        for (Member member : status.membership().members()) {
            members.add(describe(member, status, Optional.ofNullable(progress.get(member.id()))));
        }
        return MembershipResponse.newBuilder()
                .addAllMembers(members)
                .setLeaderId(status.leader().map(MemberId::value).orElse(""))
                .setTerm(status.term())
                .setCommitIndex(status.commitIndex())
                .setSurvivableMembers(status.survivableMembers())
                .addAllSurvivableFailureDomains(status.survivableFailureDomains());
    }

    private static MemberStatus describe(
            Member member, ConsensusStatus status, Optional<ConsensusStatus.Progress> progress) {
        boolean self = member.id().equals(status.self());
        long ownIndex = self ? status.lastIndex() : 0L;
        return MemberStatus.newBuilder()
                .setMemberId(member.id().value())
                .setAddress(member.address())
                .setFailureDomain(member.failureDomain())
                .setVoting(member.voting())
                .setMatchIndex(
                        progress.map(ConsensusStatus.Progress::matchIndex).orElse(ownIndex))
                .setLastHeardMillis(
                        progress.map(ConsensusStatus.Progress::lastHeardMillis).orElse(0L))
                .build();
    }
}
