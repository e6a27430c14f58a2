package org.nettlering.control.workflow;

import java.util.LinkedHashMap;
import java.util.Map;
import org.nettlering.domain.workflow.JobTerms;
import org.nettlering.domain.workflow.RemainingWork;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.StepTrait;
import org.nettlering.domain.workflow.WorkflowCommand.SubmitJob;
import org.nettlering.domain.workflow.runtime.RunTimeModel;

/**
 * What the log says of an accepted job: how urgent it is, and when its result is late.
 *
 * <p>Run times are as declared. For logs only. Immutable and thread-safe.
 *
 * @param kind {@code LONG_RUNNING}, {@code BEST_EFFORT} or {@code ORDINARY}, by its first step
 * @param priority the priority of its queue, 0 first
 * @param tasks the number of tasks of one occurrence
 * @param cpuMillis the processor time of one occurrence, in milliseconds of one processor
 * @param allowedMillis how long an occurrence may take to meet its objective, in milliseconds
 */
record AcceptedJobDetails(String kind, int priority, long tasks, long cpuMillis, long allowedMillis) {
    static AcceptedJobDetails of(SubmitJob submission) {
        StepSpecification first = submission.definition().steps().getFirst();
        RemainingWork work = RemainingWork.ofNew(submission, RunTimeModel.empty());
        JobTerms terms = submission.terms();
        return new AcceptedJobDetails(
                kindOf(first),
                terms.queueTerms().priority(),
                submission.definition().taskCount(),
                work.cpuMillis(),
                terms.allowedDurationMillis(work.wholePathMillis()));
    }

    private static String kindOf(StepSpecification step) {
        if (step.has(StepTrait.LONG_RUNNING)) {
            return StepTrait.LONG_RUNNING.name();
        }
        return step.has(StepTrait.BEST_EFFORT) ? StepTrait.BEST_EFFORT.name() : "ORDINARY";
    }

    /** Returns the fields of the log line by name. */
    Map<String, Object> toFields() {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("kind", kind);
        fields.put("priority", priority);
        fields.put("tasks", tasks);
        fields.put("cpuMillis", cpuMillis);
        fields.put("allowedMillis", allowedMillis);
        return fields;
    }
}
