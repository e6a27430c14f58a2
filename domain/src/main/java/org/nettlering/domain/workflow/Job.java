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
    private final long longestChainMillis;

    /** The occurrences that have begun, by number. */
    private final TreeMap<Integer, Occurrence> occurrences = new TreeMap<>();

    /** How far the job is. */
    private JobPhase phase = JobPhase.QUEUED;

    Job(WorkflowCommand.Submit submit) {
        this(submit.jobId(), submit.terms(), submit.definition(), submit.acceptedMillis());
    }

    private Job(String id, JobTerms terms, JobDefinition definition, long acceptedMillis) {
        this.id = id;
        this.terms = terms;
        this.definition = definition;
        this.acceptedMillis = acceptedMillis;
        longestChainMillis = definition.longestChainMillis();
    }

    static Job from(WorkflowImage.JobImage image) {
        Job job = new Job(image.id(), image.terms(), image.definition(), image.acceptedMillis());
        job.phase = image.phase();
        image.occurrences().forEach(each -> job.occurrences.put(each.number(), new Occurrence(job, each)));
        return job;
    }

    WorkflowImage.JobImage image() {
        List<WorkflowImage.OccurrenceImage> images = new ArrayList<>();
        occurrences.forEach((number, occurrence) -> images.add(occurrence.image(number)));
        return new WorkflowImage.JobImage(id, terms, definition, acceptedMillis, phase, images);
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
        return beginMillis(occurrence) + allowedMillis();
    }

    /**
     * Returns from when an occurrence is timed.
     *
     * @param occurrence the number of the occurrence, from zero
     * @return when it is due or, for a job without times, when the job was accepted, in milliseconds since 1970
     */
    public long beginMillis(int occurrence) {
        return definition.recurrence().isTimed() ? definition.recurrence().dueMillis(occurrence) : acceptedMillis;
    }

    /**
     * Returns how long an occurrence may take and still end in time.
     *
     * @return a time in milliseconds
     */
    public long allowedMillis() {
        return Math.round(terms.terms().stretch() * longestChainMillis)
                + terms.terms().targetMillis();
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
     * @param name the name of the step, not null
     * @return the step, or empty if its occurrence has not begun, never null
     */
    public Optional<StepProgress> step(StepName name) {
        Occurrence occurrence = occurrence(name.occurrence());
        if (occurrence == null || name.number() >= occurrence.steps().size()) {
            return Optional.empty();
        }
        return Optional.of(occurrence.step(name.number()));
    }

    @Nullable
    Occurrence occurrence(int number) {
        return occurrences.get(number);
    }

    /** Begins an occurrence and returns it, or null if it has begun or does not exist. */
    @Nullable
    Occurrence begin(int number) {
        if (occurrences.containsKey(number) || number >= definition.recurrence().occurrences()) {
            return null;
        }
        Occurrence occurrence = new Occurrence(this, number);
        occurrences.put(number, occurrence);
        return occurrence;
    }

    void enter(JobPhase changed) {
        phase = changed;
    }

    boolean isWholeDone() {
        return nextOccurrence().isEmpty() && occurrences.values().stream().allMatch(Occurrence::isDone);
    }
}
