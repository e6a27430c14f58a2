package org.nettlering.operator.command;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.operator.client.EntryRequest;
import org.nettlering.operator.client.OperatorException;
import org.nettlering.operator.output.Power;
import org.nettlering.operator.output.Reports;
import org.nettlering.wire.proto.TaskProto.JobList;
import org.nettlering.wire.proto.TaskProto.JobSpecification;
import org.nettlering.wire.proto.TaskProto.JobStatus;
import org.nettlering.wire.proto.TaskProto.Resources;
import org.nettlering.wire.proto.TaskProto.SubmitJob;

/** The commands about jobs. */
public final class JobCommands extends CommandGroup {
    /** The command that was chosen. */
    @Argument(handler = SubCommandHandler.class, required = true, usage = "the command")
    @SubCommands({
        @SubCommand(name = "submit", impl = JobCommands.Submit.class),
        @SubCommand(name = "show", impl = JobCommands.Show.class),
        @SubCommand(name = "list", impl = JobCommands.ListAll.class),
        @SubCommand(name = "cancel", impl = JobCommands.Cancel.class)
    })
    private @Nullable OperatorCommand command;

    @Override
    public @Nullable Object chosen() {
        return command;
    }

    /** Submits a job. */
    public static final class Submit extends OperatorCommand {
        private static final long MILLIS_PER_SECOND = 1000;

        /** The id of the job. */
        @Argument(required = true, metaVar = "ID", usage = "id of the job, unique in the site")
        private String jobId = "";

        /** The team. */
        @Option(name = "--team", required = true, metaVar = "NAME", usage = "team whose quota the job uses")
        private String team = "";

        /** The profile. */
        @Option(name = "--profile", required = true, metaVar = "NAME", usage = "profile of the job")
        private String profile = "";

        /** The class of work. */
        @Option(name = "--class", required = true, metaVar = "NAME", usage = "class by which sizes are learned")
        private String workClass = "";

        /** The processors. */
        @Option(name = "--millicores", required = true, metaVar = "N", usage = "declared processors")
        private long millicores;

        /** The memory. */
        @Option(name = "--memory-mebibytes", required = true, metaVar = "N", usage = "declared memory")
        private long memoryMebibytes;

        /** The accelerators. */
        @Option(name = "--accelerators", metaVar = "N", usage = "declared accelerators")
        private int accelerators;

        /** The power. */
        @Option(name = "--power", required = true, metaVar = "AMOUNT", usage = "largest draw, such as 250W")
        private String power = "";

        /** The run time. */
        @Option(name = "--run-time-seconds", metaVar = "N", usage = "declared run time")
        private long runTimeSeconds;

        /** The deadline. */
        @Option(name = "--deadline", metaVar = "INSTANT", usage = "such as 2027-01-31T06:00:00Z")
        private String deadline = "";

        /** Whether the job is a long-running task of a service. */
        @Option(name = "--service-task", usage = "the job runs until it is cancelled")
        private boolean serviceTask;

        /** The service. */
        @Option(
                name = "--service",
                metaVar = "NAME",
                usage = "service whose profile the job follows, also when it moves")
        private String service = "";

        /** The id of the operation. */
        @Option(name = "--operation-id", metaVar = "ID", usage = "id of the operation, to repeat a submission")
        private String operationId = "";

        @Override
        public void run(Session session) {
            String id = operationId.isEmpty() ? session.newOperationId() : operationId;
            SubmitJob submit = SubmitJob.newBuilder()
                    .setOperationId(id)
                    .setJob(specification())
                    .build();
            try {
                session.show(
                        EntryRequest.change("/v1/jobs", session.toJson(submit)),
                        JobStatus.newBuilder(),
                        job -> Reports.job(job.build()));
            } catch (OperatorException exception) {
                throw ChangeCommand.withRepeatHint(exception, "--operation-id " + id);
            }
        }

        private JobSpecification specification() {
            Resources declared = Resources.newBuilder()
                    .setMillicores(millicores)
                    .setMemoryMebibytes(memoryMebibytes)
                    .setAccelerators(accelerators)
                    .build();
            return JobSpecification.newBuilder()
                    .setJobId(jobId)
                    .setTeam(team)
                    .setProfile(profile)
                    .setWorkClass(workClass)
                    .setDeclared(declared)
                    .setPowerMilliwatts(Power.parseMilliwatts(power))
                    .setDeclaredRunTimeMillis(runTimeSeconds * MILLIS_PER_SECOND)
                    .setDeadlineUnixMillis(deadlineMillis())
                    .setServiceTask(serviceTask)
                    .setService(service)
                    .build();
        }

        private long deadlineMillis() {
            if (deadline.isEmpty()) {
                return 0;
            }
            try {
                return Instant.parse(deadline).toEpochMilli();
            } catch (DateTimeParseException exception) {
                throw new NettleringException(
                        ErrorCode.INVALID_ARGUMENT,
                        "\"" + deadline + "\" is no instant; write it like 2027-01-31T06:00:00Z",
                        exception);
            }
        }
    }

    /** Shows a job and why it is as it is. */
    public static final class Show extends OperatorCommand {
        /** The id of the job. */
        @Argument(required = true, metaVar = "ID", usage = "id of the job")
        private String jobId = "";

        @Override
        public void run(Session session) {
            session.show(
                    EntryRequest.get("/v1/jobs/" + jobId), JobStatus.newBuilder(), job -> Reports.job(job.build()));
        }
    }

    /** Lists the jobs. */
    public static final class ListAll extends OperatorCommand {
        @Override
        public void run(Session session) {
            session.show(EntryRequest.get("/v1/jobs"), JobList.newBuilder(), jobs -> Reports.jobs(jobs.build()));
        }
    }

    /** Cancels a job. */
    public static final class Cancel extends OperatorCommand {
        /** The id of the job. */
        @Argument(required = true, metaVar = "ID", usage = "id of the job")
        private String jobId = "";

        /** The id of the operation. */
        @Option(name = "--operation-id", metaVar = "ID", usage = "id of the operation, to repeat a cancellation")
        private String operationId = "";

        @Override
        public void run(Session session) {
            String id = operationId.isEmpty() ? session.newOperationId() : operationId;
            EntryRequest request = EntryRequest.delete("/v1/jobs/" + jobId + "?operation_id=" + id, true);
            try {
                session.show(request, JobStatus.newBuilder(), job -> Reports.job(job.build()));
            } catch (OperatorException exception) {
                throw ChangeCommand.withRepeatHint(exception, "--operation-id " + id);
            }
        }
    }
}
