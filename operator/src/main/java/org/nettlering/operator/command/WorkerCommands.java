package org.nettlering.operator.command;

import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;
import org.nettlering.operator.client.EntryRequest;
import org.nettlering.operator.output.Reports;
import org.nettlering.wire.proto.TaskProto.WorkerStatus;

/** The commands about workers. */
public final class WorkerCommands extends CommandGroup {
    /** The command that was chosen. */
    @Argument(handler = SubCommandHandler.class, required = true, usage = "the command")
    @SubCommands({@SubCommand(name = "show", impl = WorkerCommands.Show.class)})
    private @Nullable OperatorCommand command;

    @Override
    public @Nullable Object chosen() {
        return command;
    }

    /** Shows a worker and what was decided about it. */
    public static final class Show extends OperatorCommand {
        /** The id of the worker. */
        @Argument(required = true, metaVar = "ID", usage = "id of the worker")
        private String workerId = "";

        @Override
        public void run(Session session) {
            session.show(
                    EntryRequest.get("/v1/workers/" + workerId),
                    WorkerStatus.newBuilder(),
                    worker -> Reports.worker(worker.build()));
        }
    }
}
