package org.nettlering.control.workflow;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Predicate;
import org.nettlering.control.log.CommandLog;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.wire.proto.CommandProto.SiteCommand;
import org.nettlering.wire.proto.CommandProto.SiteResult;

/** A log that several members share: what the leader proposes is committed at once; the others apply it when they lead. */
final class SharedLog {
    private final List<SiteCommand> entries = new ArrayList<>();
    private long term = 1;
    private int members;
    private int leader;
    private Predicate<SiteCommand> replicated = command -> true;

    /** Plants a fault: members that take over do not get the entries that the predicate refuses. */
    void replicateOnly(Predicate<SiteCommand> kept) {
        replicated = kept;
    }

    /** Adds a member; the first one leads. */
    Member join(WorkflowStateMachine part) {
        members++;
        return new Member(part, members - 1);
    }

    /** Makes another member the leader of the next term. */
    void elect(Member member) {
        leader = member.number;
        term++;
        member.catchUp();
    }

    /** The log as one member sees it. */
    final class Member implements CommandLog {
        private final WorkflowStateMachine part;
        private final int number;
        private int applied;
        private boolean unaware;
        private long unawareTerm;

        private Member(WorkflowStateMachine part, int number) {
            this.part = part;
            this.number = number;
        }

        /** Lets the member go on believing that it leads the present term. */
        void loseTouch() {
            unaware = true;
            unawareTerm = term;
        }

        void noticeReplacement() {
            unaware = false;
        }

        private void catchUp() {
            while (applied < entries.size()) {
                if (replicated.test(entries.get(applied))) {
                    part.apply(entries.get(applied));
                }
                applied++;
            }
        }

        private boolean leads() {
            return leader == number;
        }

        @Override
        public CompletionStage<SiteResult> propose(SiteCommand command) {
            if (!leads()) {
                return CompletableFuture.failedStage(new NettleringException(ErrorCode.OUTCOME_UNKNOWN, "replaced"));
            }
            entries.add(command);
            applied++;
            return CompletableFuture.completedStage(part.apply(command));
        }

        @Override
        public CompletionStage<Void> confirmLeadership() {
            return leads()
                    ? CompletableFuture.completedStage(null)
                    : CompletableFuture.failedStage(new NettleringException(ErrorCode.NOT_LEADER, "replaced"));
        }

        @Override
        public boolean isReadyLeader() {
            return leads() || unaware;
        }

        @Override
        public boolean hasAppliedWholeLog() {
            return true;
        }

        @Override
        public long term() {
            return unaware && !leads() ? unawareTerm : term;
        }

        @Override
        public Optional<String> leaderId() {
            return Optional.of("m" + leader);
        }
    }
}
