package org.nettlering.operator.command;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;
import org.nettlering.operator.client.EntryRequest;
import org.nettlering.operator.output.Reports;
import org.nettlering.wire.proto.ConfigurationProto.RevisionRecord;
import org.nettlering.wire.proto.ConfigurationProto.RevisionRecords;
import org.nettlering.wire.proto.MembershipProto.MembershipResponse;
import org.nettlering.wire.proto.TaskProto.JobStatus;
import org.nettlering.wire.proto.TaskProto.WorkerStatus;

/** The commands that answer why something is as it is. */
public final class ExplainCommands extends CommandGroup {
    /** The command that was chosen. */
    @Argument(handler = SubCommandHandler.class, required = true, usage = "the command")
    @SubCommands({
        @SubCommand(name = "job", impl = ExplainCommands.Job.class),
        @SubCommand(name = "worker", impl = ExplainCommands.Worker.class),
        @SubCommand(name = "service", impl = ExplainCommands.Service.class),
        @SubCommand(name = "revision", impl = ExplainCommands.Revision.class),
        @SubCommand(name = "leader", impl = ExplainCommands.Leader.class)
    })
    private @Nullable OperatorCommand command;

    @Override
    public @Nullable Object chosen() {
        return command;
    }

    /** Explains a job. */
    public static final class Job extends OperatorCommand {
        /** The id of the job. */
        @Argument(required = true, metaVar = "ID", usage = "id of the job")
        private String jobId = "";

        @Override
        public void run(Session session) {
            session.show(
                    EntryRequest.get("/v1/jobs/" + jobId), JobStatus.newBuilder(), job -> Reports.job(job.build()));
        }
    }

    /** Explains a worker. */
    public static final class Worker extends OperatorCommand {
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

    /** Explains a service by the revisions that changed it. */
    public static final class Service extends OperatorCommand {
        /** The name of the service. */
        @Argument(required = true, metaVar = "NAME", usage = "name of the service")
        private String name = "";

        @Override
        public void run(Session session) {
            session.show(
                    EntryRequest.get("/v1/configuration/services/" + name + "/revisions"),
                    RevisionRecords.newBuilder(),
                    records -> Reports.revisions(records.getRecordsList()));
        }
    }

    /** Explains a revision of the configuration. */
    public static final class Revision extends OperatorCommand {
        /** The revision. */
        @Argument(required = true, metaVar = "N", usage = "number of the revision")
        private long revision;

        @Override
        public void run(Session session) {
            session.show(
                    EntryRequest.get("/v1/configuration/revisions/" + revision),
                    RevisionRecord.newBuilder(),
                    record -> Reports.revisions(List.of(record.build())));
        }
    }

    /** Explains who leads the control members, and how that came about. */
    public static final class Leader extends OperatorCommand {
        @Override
        public void run(Session session) {
            session.show(
                    EntryRequest.get("/v1/members"),
                    MembershipResponse.newBuilder(),
                    members -> Reports.leader(members.build()));
        }
    }
}
