package org.nettlering.domain.workflow;

import java.util.List;
import java.util.Set;
import org.nettlering.domain.queue.QueueTerms;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.workflow.WorkflowCommand.RecordTermination;
import org.nettlering.domain.workflow.WorkflowCommand.StartRun;
import org.nettlering.domain.workflow.WorkflowCommand.SubmitJob;

/** Small jobs, and commands on them, for tests. */
public final class WorkflowSamples {
    public static final HostIncarnation HOST = new HostIncarnation("h1", "10.0.0.1:80");

    private WorkflowSamples() {}

    /** Returns a step whose tasks each need one processor and 100 MiB and run for an estimated second. */
    public static StepSpecification step(int taskCount, List<Integer> dependsOn, StepTrait... traits) {
        return new StepSpecification(
                taskCount,
                Resources.of(1_000, 100, 0),
                1_000,
                dependsOn,
                Set.of(traits),
                PlacementConstraints.NONE,
                StepServiceLevel.UNSPECIFIED);
    }

    /** Returns the submission of a job that runs once and fails when one of its tasks has failed twice. */
    public static SubmitJob job(String id, StepSpecification... steps) {
        return job(id, Recurrence.ONCE, steps);
    }

    /** Returns the submission of a job that fails when one of its tasks has failed twice. */
    public static SubmitJob job(String id, Recurrence recurrence, StepSpecification... steps) {
        JobTerms terms = new JobTerms("queue", "pool", new QueueTerms(0, 2, 1.5, 250, false));
        return new SubmitJob(id, terms, new JobDefinition("work", List.of(steps), recurrence), 0);
    }

    /** Returns the start of a run of the first occurrence on {@link #HOST}. */
    public static StartRun start(String jobId, int step, int index, int runNumber) {
        return new StartRun(new ActiveRun(run(jobId, step, index, runNumber), HOST, ""));
    }

    /** Returns the termination of a run of the first occurrence, without a checkpoint. */
    public static RecordTermination end(String jobId, int step, int index, int runNumber, TerminalStatus status) {
        return new RecordTermination(run(jobId, step, index, runNumber), status, "");
    }

    /** Returns the id of a run of the first occurrence. */
    public static RunId run(String jobId, int step, int index, int runNumber) {
        return new RunId(TaskId.of(jobId, 0, step, index), runNumber);
    }
}
