package org.nettlering.domain.workflow;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * One accepted job and how far it is.
 *
 * <p>Belongs to a {@link WorkflowState}, which alone changes it. Not thread-safe.
 */
public final class Job {
    /** The id. */
    private final String id;

    /** The terms. */
    private final JobTerms terms;

    /** What to run. */
    private final JobDefinition definition;

    /** When it was accepted, in milliseconds since 1970. */
    private final long acceptedMillis;

    /** The time of its longest chain of steps by their estimates, in milliseconds. */
    private final long criticalPathMillis;

    /** The occurrences that have begun, by number. */
    private final TreeMap<Integer, Occurrence> occurrences = new TreeMap<>();

    /** How far the job is. */
    private JobPhase phase = JobPhase.QUEUED;

    Job(WorkflowCommand.SubmitJob submit) {
        this(submit.jobId(), submit.terms(), submit.definition(), submit.acceptedMillis());
    }

    private Job(String id, JobTerms terms, JobDefinition definition, long acceptedMillis) {
        this.id = id;
        this.terms = terms;
        this.definition = definition;
        this.acceptedMillis = acceptedMillis;
        criticalPathMillis = definition.criticalPathMillis();
    }

    static Job from(WorkflowStateSnapshot.JobSnapshot snapshot) {
        Job job = new Job(snapshot.id(), snapshot.terms(), snapshot.definition(), snapshot.acceptedMillis());
        job.phase = snapshot.phase();
        snapshot.occurrences().forEach(each -> job.occurrences.put(each.number(), new Occurrence(job, each)));
        return job;
    }

    WorkflowStateSnapshot.JobSnapshot snapshot() {
        List<WorkflowStateSnapshot.OccurrenceSnapshot> snapshots = new ArrayList<>();
        occurrences.forEach((number, occurrence) -> snapshots.add(occurrence.snapshot(number)));
        return new WorkflowStateSnapshot.JobSnapshot(id, terms, definition, acceptedMillis, phase, snapshots);
    }

    /**
     * Returns the id.
     *
     * @return the id that the caller chose, never null
     */
    public String id() {
        return id;
    }

    /**
     * Returns the terms.
     *
     * @return the terms, never null
     */
    public JobTerms terms() {
        return terms;
    }

    /**
     * Returns what to run.
     *
     * @return the definition, never null
     */
    public JobDefinition definition() {
        return definition;
    }

    /**
     * Returns when the job was accepted.
     *
     * @return milliseconds since 1970
     */
    public long acceptedMillis() {
        return acceptedMillis;
    }

    /**
     * Returns until when an occurrence ends in time.
     *
     * @param occurrence the number of the occurrence, from zero
     * @return milliseconds since 1970
     */
    public long objectiveMillis(int occurrence) {
        return releaseMillis(occurrence) + allowedDurationMillis();
    }

    /**
     * Returns from when an occurrence is timed.
     *
     * @param occurrence the number of the occurrence, from zero
     * @return when it is due or, for a job without times, when the job was accepted, in milliseconds since 1970
     */
    public long releaseMillis(int occurrence) {
        return definition.recurrence().isPeriodic() ? definition.recurrence().dueMillis(occurrence) : acceptedMillis;
    }

    /**
     * Returns how long an occurrence may take and still end in time.
     *
     * @return a time in milliseconds
     */
    public long allowedDurationMillis() {
        return Math.round(terms.queueTerms().stretch() * criticalPathMillis)
                + terms.queueTerms().targetMillis();
    }

    /**
     * Returns how far the job is.
     *
     * @return the phase, never null
     */
    public JobPhase phase() {
        return phase;
    }

    /**
     * Returns the next occurrence that has not begun.
     *
     * @return its number, or empty if all have begun, never null
     */
    public Optional<Integer> nextOccurrence() {
        int next = occurrences.isEmpty() ? 0 : occurrences.lastKey() + 1;
        return next < definition.recurrence().occurrences() ? Optional.of(next) : Optional.empty();
    }

    /**
     * Returns the steps of all occurrences that have begun.
     *
     * @return a new list, never null
     */
    public List<StepProgress> steps() {
        List<StepProgress> steps = new ArrayList<>();
        occurrences.values().forEach(occurrence -> steps.addAll(occurrence.steps()));
        return steps;
    }

    /**
     * Finds a step.
     *
     * @param stepId the name of the step, not null
     * @return the step, or empty if its occurrence has not begun, never null
     */
    public Optional<StepProgress> step(StepId stepId) {
        Occurrence occurrence = occurrence(stepId.occurrence());
        if (occurrence == null || stepId.number() >= occurrence.steps().size()) {
            return Optional.empty();
        }
        return Optional.of(occurrence.step(stepId.number()));
    }

    @Nullable
    Occurrence occurrence(int number) {
        return occurrences.get(number);
    }

    /** Begins an occurrence and returns it, or null if it has begun or does not exist. */
    @Nullable
    Occurrence startOccurrence(int number) {
        if (occurrences.containsKey(number) || number >= definition.recurrence().occurrences()) {
            return null;
        }
        Occurrence occurrence = new Occurrence(this, number);
        occurrences.put(number, occurrence);
        return occurrence;
    }

    void setPhase(JobPhase newPhase) {
        phase = newPhase;
    }

    boolean areAllOccurrencesDone() {
        return nextOccurrence().isEmpty() && occurrences.values().stream().allMatch(Occurrence::isDone);
    }
}
