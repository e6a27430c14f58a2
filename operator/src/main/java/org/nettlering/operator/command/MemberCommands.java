package org.nettlering.operator.command;

import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;
import org.nettlering.operator.client.EntryRequest;
import org.nettlering.operator.output.Reports;
import org.nettlering.runtime.settings.Addresses;
import org.nettlering.wire.proto.MembershipProto.AddMember;
import org.nettlering.wire.proto.MembershipProto.MembershipResponse;

/** The commands about the control members. */
public final class MemberCommands extends CommandGroup {
    /** The command that was chosen. */
    @Argument(handler = SubCommandHandler.class, required = true, usage = "the command")
    @SubCommands({
        @SubCommand(name = "list", impl = MemberCommands.ListAll.class),
        @SubCommand(name = "add", impl = MemberCommands.Add.class),
        @SubCommand(name = "remove", impl = MemberCommands.Remove.class)
    })
    private @Nullable OperatorCommand command;

    @Override
    public @Nullable Object chosen() {
        return command;
    }

    /** Lists the control members. */
    public static final class ListAll extends OperatorCommand {
        @Override
        public void run(Session session) {
            session.show(
                    EntryRequest.get("/v1/members"),
                    MembershipResponse.newBuilder(),
                    members -> Reports.members(members.build()));
        }
    }

    /** Adds a control member, which learns before it votes. */
    public static final class Add extends OperatorCommand {
        /** The id of the member. */
        @Argument(required = true, metaVar = "ID", usage = "id of the control process")
        private String memberId = "";

        /** Its address. */
        @Option(name = "--address", required = true, metaVar = "IP:PORT", usage = "its port for peers")
        private String address = "";

        /** Its failure domain. */
        @Option(name = "--failure-domain", required = true, metaVar = "NAME", usage = "failure domain of its host")
        private String failureDomain = "";

        @Override
        public void run(Session session) {
            AddMember add = AddMember.newBuilder()
                    .setMemberId(memberId)
                    .setAddress(Addresses.format(Addresses.parse(address)))
                    .setFailureDomain(failureDomain)
                    .build();
            session.show(
                    EntryRequest.changeOnce("/v1/members", session.toJson(add)),
                    MembershipResponse.newBuilder(),
                    members -> Reports.members(members.build()));
        }
    }

    /** Removes a control member. */
    public static final class Remove extends OperatorCommand {
        /** The id of the member. */
        @Argument(required = true, metaVar = "ID", usage = "id of the control process")
        private String memberId = "";

        @Override
        public void run(Session session) {
            session.show(
                    EntryRequest.delete("/v1/members/" + memberId, false),
                    MembershipResponse.newBuilder(),
                    members -> Reports.members(members.build()));
        }
    }
}
