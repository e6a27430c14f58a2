package org.nettlering.operator.command;

import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;
import org.nettlering.operator.client.EntryRequest;
import org.nettlering.operator.output.Reports;
import org.nettlering.wire.proto.WorkflowProto.EvacuationChange;
import org.nettlering.wire.proto.WorkflowProto.EvacuationsMessage;

/** The commands about the evacuation of failure domains. */
public final class EvacuationCommands extends CommandGroup {
    /** The command that was chosen. */
    @Argument(handler = SubCommandHandler.class, required = true, usage = "the command")
    @SubCommands({
        @SubCommand(name = "list", impl = EvacuationCommands.ListAll.class),
        @SubCommand(name = "start", impl = EvacuationCommands.Start.class),
        @SubCommand(name = "finish", impl = EvacuationCommands.Finish.class)
    })
    private @Nullable OperatorCommand command;

    @Override
    public @Nullable Object chosen() {
        return command;
    }

    /** Lists the evacuated failure domains. */
    public static final class ListAll extends OperatorCommand {
        @Override
        public void run(Session session) {
            session.show(
                    EntryRequest.get("/v1/evacuations"),
                    EvacuationsMessage.newBuilder(),
                    evacuations -> Reports.evacuations(evacuations.build()));
        }
    }

    /** Starts an evacuation: the hosts of the failure domain get no new runs. */
    public static final class Start extends OperatorCommand {
        /** The failure domain. */
        @Argument(required = true, metaVar = "FAILURE-DOMAIN", usage = "failure domain to evacuate")
        private String failureDomain = "";

        @Override
        public void run(Session session) {
            change(session, failureDomain, true);
        }
    }

    /** Finishes an evacuation: the hosts of the failure domain are used again. */
    public static final class Finish extends OperatorCommand {
        /** The failure domain. */
        @Argument(required = true, metaVar = "FAILURE-DOMAIN", usage = "failure domain to use again")
        private String failureDomain = "";

        @Override
        public void run(Session session) {
            change(session, failureDomain, false);
        }
    }

    /** Bases the change on the version that is read first, so that a late repetition of it has no effect. */
    private static void change(Session session, String failureDomain, boolean evacuated) {
        EvacuationsMessage current = session.read(EntryRequest.get("/v1/evacuations"), EvacuationsMessage.newBuilder())
                .build();
        EvacuationChange change = EvacuationChange.newBuilder()
                .setFailureDomain(failureDomain)
                .setEvacuated(evacuated)
                .setExpectedVersion(current.getVersion())
                .build();
        session.show(
                EntryRequest.change("/v1/evacuations", session.toJson(change)),
                EvacuationsMessage.newBuilder(),
                evacuations -> Reports.evacuations(evacuations.build()));
    }
}
