package org.nettlering.domain.workflow;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import org.nettlering.domain.queue.QueueTerms;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.workflow.WorkflowCommand.Batch;
import org.nettlering.domain.workflow.WorkflowCommand.CancelJob;
import org.nettlering.domain.workflow.WorkflowCommand.RemoveJob;
import org.nettlering.domain.workflow.WorkflowCommand.SubmitJob;

/**
 * The cancellation of a job that is not known yet: its submission may be on its way, and must not start it any more.
 *
 * <p>The id is kept as that of a job which is cancelled with its submission, is shown to nobody, and is removed like any
 * finished job. Members of earlier versions apply the same commands. At most {@link #MAX_KEPT} are kept, with ids of at most
 * {@link #MAX_ID_LENGTH} characters, as anyone may cancel any id; beyond that, the oldest go first. Without instances.
 */
public final class EarlyCancellation {
    /** How many ids are kept. */
    static final int MAX_KEPT = 2_000;

    /** The longest id that is kept, in characters. */
    static final int MAX_ID_LENGTH = 128;

    /** No queue has this name, so that the terms tell such a job from those that were submitted. */
    private static final String NO_QUEUE = "";

    private static final JobTerms TERMS = new JobTerms(NO_QUEUE, "", new QueueTerms(0, 1, 1, 0, false));

    /** A job cannot be without a step. */
    private static final JobDefinition DEFINITION = new JobDefinition(
            "",
            List.of(new StepSpecification(
                    1,
                    Resources.NONE,
                    0,
                    List.of(),
                    Set.of(),
                    PlacementConstraints.NONE,
                    StepServiceLevel.UNSPECIFIED)),
            Recurrence.ONCE);

    private EarlyCancellation() {}

    /**
     * Returns the command that cancels a job, whether its submission precedes it in the log, follows it or never comes.
     *
     * @param state the state before, not null
     * @param jobId the id of the job, not null
     * @param nowMillis the current time, in milliseconds since 1970
     * @return the command, never null
     */
    public static WorkflowCommand cancel(WorkflowState state, String jobId, long nowMillis) {
        CancelJob cancel = new CancelJob(jobId);
        if (state.job(jobId).isPresent() || jobId.isEmpty() || jobId.length() > MAX_ID_LENGTH) {
            return cancel;
        }
        List<WorkflowCommand> commands = new ArrayList<>();
        Iterator<String> oldest = state.unsubmittedJobs().iterator();
        for (int excess = state.unsubmittedJobs().size() + 1 - MAX_KEPT; excess > 0; excess--) {
            commands.add(new RemoveJob(oldest.next()));
        }
        // Has no effect if the submission comes first.
        commands.add(new SubmitJob(jobId, TERMS, DEFINITION, nowMillis));
        commands.add(cancel);
        return new Batch(commands);
    }

    /** Returns whether a job is only kept because it was cancelled before its submission. */
    static boolean isUnsubmitted(Job job) {
        return job.terms().queue().equals(NO_QUEUE);
    }
}
