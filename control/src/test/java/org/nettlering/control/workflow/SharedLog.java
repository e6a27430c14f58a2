package org.nettlering.control.workflow;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.nettlering.control.log.CommandLog;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.wire.proto.CommandProto.SiteCommand;
import org.nettlering.wire.proto.CommandProto.SiteResult;

/** A log shared by its members: an entry commits as soon as the leader proposes it; the others apply it once elected. */
final class SharedLog {
    private final List<SiteCommand> entries = new ArrayList<>();
    private long term = 1;
    private int memberCount;
    private int leaderNumber;
    private Predicate<SiteCommand> replicationFilter = command -> true;
    private Supplier<ProposalFault> proposalFaults = () -> ProposalFault.NONE;

    /** What may go wrong with a proposal beside the loss of the leadership. */
    enum ProposalFault {
        NONE,
        /** It throws and is not logged. */
        EXCEPTION,
        /** It is not logged and has no outcome. */
        LOST,
        /** It is committed and applied but has no outcome. */
        LOST_OUTCOME
    }

    /** Injects the faults that the supplier draws for each proposal. */
    void injectProposalFaults(Supplier<ProposalFault> faults) {
        proposalFaults = faults;
    }

    /** Injects a fault: newly elected members do not receive the entries that the filter rejects. */
    void replicateOnly(Predicate<SiteCommand> filter) {
        replicationFilter = filter;
    }

    /** Adds a member; the first one is the initial leader. */
    Member join(WorkflowStateMachine stateMachine) {
        memberCount++;
        return new Member(stateMachine, memberCount - 1);
    }

    /** Makes a member the leader of the next term. */
    void elect(Member member) {
        leaderNumber = member.number;
        term++;
        member.catchUp();
    }

    /** The log as one member sees it. */
    final class Member implements CommandLog {
        private final WorkflowStateMachine stateMachine;
        private final int number;
        private int appliedCount;
        private boolean staleLeader;
        private long staleTerm;

        private Member(WorkflowStateMachine stateMachine, int number) {
            this.stateMachine = stateMachine;
            this.number = number;
        }

        /** Lets the member assume that it still leads the current term until {@link #noticeReplacement}. */
        void becomeStaleLeader() {
            staleLeader = true;
            staleTerm = term;
        }

        void noticeReplacement() {
            staleLeader = false;
        }

        private void catchUp() {
            while (appliedCount < entries.size()) {
                if (replicationFilter.test(entries.get(appliedCount))) {
                    stateMachine.apply(entries.get(appliedCount));
                }
                appliedCount++;
            }
        }

        private boolean isLeader() {
            return leaderNumber == number;
        }

        @Override
        public CompletionStage<SiteResult> propose(SiteCommand command) {
            if (!isLeader()) {
                return CompletableFuture.failedStage(new NettleringException(ErrorCode.OUTCOME_UNKNOWN, "replaced"));
            }
            ProposalFault fault = proposalFaults.get();
            if (fault == ProposalFault.EXCEPTION) {
                throw new IllegalStateException("injected");
            }
            if (fault == ProposalFault.LOST) {
                return new CompletableFuture<>();
            }
            entries.add(command);
            appliedCount++;
            SiteResult result = stateMachine.apply(command);
            return fault == ProposalFault.LOST_OUTCOME
                    ? new CompletableFuture<>()
                    : CompletableFuture.completedStage(result);
        }

        @Override
        public CompletionStage<Void> confirmLeadership() {
            return isLeader()
                    ? CompletableFuture.completedStage(null)
                    : CompletableFuture.failedStage(new NettleringException(ErrorCode.NOT_LEADER, "replaced"));
        }

        @Override
        public boolean isReadyLeader() {
            return isLeader() || staleLeader;
        }

        @Override
        public boolean hasAppliedWholeLog() {
            return true;
        }

        @Override
        public long term() {
            return staleLeader && !isLeader() ? staleTerm : term;
        }

        @Override
        public Optional<String> leaderId() {
            return Optional.of("m" + leaderNumber);
        }
    }
}
