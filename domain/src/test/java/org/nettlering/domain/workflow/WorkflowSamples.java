package org.nettlering.domain.workflow;

import java.util.List;
import java.util.Set;
import org.nettlering.domain.queue.QueueTerms;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.workflow.WorkflowCommand.End;
import org.nettlering.domain.workflow.WorkflowCommand.Start;
import org.nettlering.domain.workflow.WorkflowCommand.Submit;

/** Small jobs for tests. */
public final class WorkflowSamples {
    /** A host. */
    public static final HostAddress HOST = new HostAddress("h1", "10.0.0.1:80");

    private WorkflowSamples() {}

    /** Returns a step of tasks with one processor and 100 MiB each that run for a second. */
    public static StepSpecification step(int count, List<Integer> dependsOn, StepTrait... traits) {
        return new StepSpecification(
                count,
                Resources.of(1_000, 100, 0),
                1_000,
                dependsOn,
                Set.of(traits),
                StepLocality.ANYWHERE,
                StepSharing.UNTOLD);
    }

    /** Returns a job that runs once, with two attempts for each task. */
    public static Submit job(String id, StepSpecification... steps) {
        return job(id, Recurrence.ONCE, steps);
    }

    /** Returns a job with times, with two attempts for each task. */
    public static Submit job(String id, Recurrence recurrence, StepSpecification... steps) {
        JobTerms terms = new JobTerms("queue", "pool", new QueueTerms(0, 2, 1.5, 250, false));
        return new Submit(id, terms, new JobDefinition("work", List.of(steps), recurrence), 0);
    }

    /** Returns the start of a task of the first occurrence on the host. */
    public static Start start(String jobId, int step, int index, int run) {
        return new Start(new ActiveRun(run(jobId, step, index, run), HOST, ""));
    }

    /** Returns an end. */
    public static End end(String jobId, int step, int index, int run, RunEnd how) {
        return new End(run(jobId, step, index, run), how, "");
    }

    /** Returns the name of a run of the first occurrence. */
    public static RunName run(String jobId, int step, int index, int run) {
        return new RunName(TaskName.of(jobId, 0, step, index), run);
    }
}
