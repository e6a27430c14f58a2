package org.nettlering.domain.workflow;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * An accepted job and its progress.
 *
 * <p>Owned by a {@link WorkflowState}, which alone modifies it. Not thread-safe.
 */
public final class Job {
    private final String id;

    private final JobTerms terms;

    private final JobDefinition definition;

    private final long acceptedMillis;

    /** The started occurrences by number. */
    private final TreeMap<Integer, Occurrence> occurrences = new TreeMap<>();

    private JobPhase phase = JobPhase.QUEUED;

    Job(WorkflowCommand.SubmitJob submit) {
        this(submit.jobId(), submit.terms(), submit.definition(), submit.acceptedMillis());
    }

    private Job(String id, JobTerms terms, JobDefinition definition, long acceptedMillis) {
        this.id = id;
        this.terms = terms;
        this.definition = definition;
        this.acceptedMillis = acceptedMillis;
    }

    static Job from(WorkflowStateSnapshot.JobSnapshot snapshot) {
        Job job = new Job(snapshot.id(), snapshot.terms(), snapshot.definition(), snapshot.acceptedMillis());
        job.phase = snapshot.phase();
        if (!job.phase.isOpen() && !hasActiveRuns(snapshot)) {
            return job;
        }
        snapshot.occurrences()
                .forEach(occurrence -> job.occurrences.put(occurrence.number(), new Occurrence(job, occurrence)));
        return job;
    }

    private static boolean hasActiveRuns(WorkflowStateSnapshot.JobSnapshot snapshot) {
        return snapshot.occurrences().stream()
                .flatMap(occurrence -> occurrence.steps().stream())
                .flatMap(step -> step.tasks().stream())
                .anyMatch(task -> !task.activeRuns().isEmpty());
    }

    WorkflowStateSnapshot.JobSnapshot snapshot() {
        List<WorkflowStateSnapshot.OccurrenceSnapshot> snapshots = new ArrayList<>();
        occurrences.forEach((number, occurrence) -> snapshots.add(occurrence.snapshot(number)));
        return new WorkflowStateSnapshot.JobSnapshot(id, terms, definition, acceptedMillis, phase, snapshots);
    }

    /**
     * Returns the id of the job.
     *
     * @return the id that the caller chose, never null
     */
    public String id() {
        return id;
    }

    /**
     * Returns the terms that applied when the job was accepted.
     *
     * @return the terms, never null
     */
    public JobTerms terms() {
        return terms;
    }

    /**
     * Returns the definition that the caller submitted.
     *
     * @return the definition, never null
     */
    public JobDefinition definition() {
        return definition;
    }

    /**
     * Returns when the job was accepted.
     *
     * @return the time, in milliseconds since 1970
     */
    public long acceptedMillis() {
        return acceptedMillis;
    }

    /**
     * Returns the time from which the duration of an occurrence is measured.
     *
     * @param occurrence the number of the occurrence, from zero
     * @return when the occurrence is due or, if the job is not periodic, when the job was accepted, in milliseconds since
     *     1970
     */
    public long releaseMillis(int occurrence) {
        return definition.recurrence().isPeriodic() ? definition.recurrence().dueMillis(occurrence) : acceptedMillis;
    }

    /**
     * Returns the phase of the job.
     *
     * @return the phase, never null
     */
    public JobPhase phase() {
        return phase;
    }

    /**
     * Returns the next occurrence to start.
     *
     * @return its number, or empty if all occurrences have started, never null
     */
    public Optional<Integer> nextOccurrence() {
        int next = occurrences.isEmpty() ? 0 : occurrences.lastKey() + 1;
        return next < definition.recurrence().occurrences() ? Optional.of(next) : Optional.empty();
    }

    /**
     * Returns the steps of all started occurrences.
     *
     * @return a new list, empty once the job is finished and has no active run, never null
     */
    public List<StepProgress> steps() {
        List<StepProgress> steps = new ArrayList<>();
        occurrences.values().forEach(occurrence -> steps.addAll(occurrence.steps()));
        return steps;
    }

    /**
     * Finds a step.
     *
     * @param stepId the id of the step, not null
     * @return the step, or empty if its occurrence has not started or has no such step, never null
     */
    public Optional<StepProgress> step(StepId stepId) {
        Occurrence occurrence = occurrence(stepId.occurrence());
        if (occurrence == null || stepId.number() >= occurrence.steps().size()) {
            return Optional.empty();
        }
        return Optional.of(occurrence.step(stepId.number()));
    }

    /** Returns the number of occurrences that have started, zero once their progress is discarded. */
    int startedOccurrences() {
        return occurrences.size();
    }

    @Nullable
    Occurrence occurrence(int number) {
        return occurrences.get(number);
    }

    /** Starts an occurrence and returns it, or null if it has already started or does not exist. */
    @Nullable
    Occurrence startOccurrence(int number) {
        if (occurrences.containsKey(number) || number >= definition.recurrence().occurrences()) {
            return null;
        }
        Occurrence occurrence = new Occurrence(this, number);
        occurrences.put(number, occurrence);
        return occurrence;
    }

    /**
     * Returns whether the replicated state shows that a run of the job has begun on a host. It does not tell of a run that is
     * still active, or whose host was lost.
     *
     * @return true if a run ended in a way that only a run that had begun can end
     */
    public boolean hasCertainlyBegun() {
        return occurrences.values().stream()
                .flatMap(occurrence -> occurrence.steps().stream())
                .anyMatch(StepProgress::hasCertainlyBegun);
    }

    /** Returns whether a run of the job may be active on a host. */
    boolean hasActiveRuns() {
        return occurrences.values().stream()
                .flatMap(occurrence -> occurrence.steps().stream())
                .anyMatch(step -> step.activeRunCount() > 0);
    }

    /** Discards what is known of the tasks of a job that is finished and has no active run: only its phase is asked for. */
    void discardProgress() {
        occurrences.clear();
    }

    void setPhase(JobPhase newPhase) {
        phase = newPhase;
    }

    boolean areAllOccurrencesDone() {
        return nextOccurrence().isEmpty() && occurrences.values().stream().allMatch(Occurrence::isDone);
    }
}
