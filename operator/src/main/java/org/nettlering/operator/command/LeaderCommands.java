package org.nettlering.operator.command;

import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;
import org.nettlering.operator.client.EntryRequest;
import org.nettlering.operator.output.Reports;
import org.nettlering.wire.proto.MembershipProto.MembershipResponse;
import org.nettlering.wire.proto.MembershipProto.TransferLeadership;

/** The commands about the control leader. */
public final class LeaderCommands extends CommandGroup {
    /** The command that was chosen. */
    @Argument(handler = SubCommandHandler.class, required = true, usage = "the command")
    @SubCommands({@SubCommand(name = "transfer", impl = LeaderCommands.Transfer.class)})
    private @Nullable OperatorCommand command;

    @Override
    public @Nullable Object chosen() {
        return command;
    }

    /** Hands the leadership to another member. */
    public static final class Transfer extends OperatorCommand {
        /** The member that shall lead. */
        @Argument(metaVar = "ID", usage = "member that shall lead; default: the one that is most up to date")
        private String memberId = "";

        @Override
        public void run(Session session) {
            TransferLeadership transfer =
                    TransferLeadership.newBuilder().setMemberId(memberId).build();
            session.show(
                    EntryRequest.changeOnce("/v1/leadership", session.toJson(transfer)),
                    MembershipResponse.newBuilder(),
                    members -> Reports.members(members.build()));
        }
    }
}
