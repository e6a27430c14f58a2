package org.nettlering.domain.workflow.placement;

import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.workflow.HostAllocations;
import org.nettlering.domain.workflow.HostIncarnation;
import org.nettlering.domain.workflow.StepId;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.StepTrait;
import org.nettlering.domain.workflow.host.HostHeartbeat;
import org.nettlering.domain.workflow.sharing.ServingRun;

/**
 * The room on one host while starts are planned.
 *
 * <p>Begins with what the log commits and takes in each start that is planned. Not thread-safe.
 */
public final class HostRoom {
    /** The part of their processors that runs which serve leave unused on average, in percent. */
    private static final int SERVING_IDLE_PERCENT = 50;

    /** What the host told of itself. */
    private final HostHeartbeat report;

    /** How much the host is to be avoided; zero for a sound one. */
    private final int doubt;

    /** What the log commits, or nothing. */
    private final HostAllocations commitments;

    /** How many tasks of each step were planned here. */
    private final Map<StepId, Integer> planned = new HashMap<>();

    /** The runs that serve here, as measured last. */
    private final List<ServingRun> servingRuns;

    /** What is not committed. */
    private Resources free;

    /** The processors that runs which only fill would use, in millicores. */
    private long fillingMillicores;

    /** How many runs serve users. */
    private int serving;

    /** The processors that they commit, in millicores. */
    private long servingMillicores;

    /** How many runs of each image serve users. */
    private final Map<String, Integer> servingImages = new HashMap<>();

    /**
     * Measures the room on a host.
     *
     * @param report what the host told of itself, not null
     * @param commitments what the log commits there, not null
     * @param doubt how much the host is to be avoided, zero for a sound one
     * @param servingRuns the runs that serve here, as measured last, not null
     * @return the room, never null
     */
    public static HostRoom of(
            HostHeartbeat report, HostAllocations commitments, int doubt, List<ServingRun> servingRuns) {
        return new HostRoom(report, commitments, doubt, servingRuns);
    }

    private HostRoom(HostHeartbeat report, HostAllocations commitments, int doubt, List<ServingRun> servingRuns) {
        this.servingRuns = List.copyOf(servingRuns);
        this.report = report;
        this.doubt = doubt;
        this.commitments = commitments;
        free = report.capacity().minus(commitments.allocated());
        fillingMillicores = commitments.bestEffortMillicores();
        serving = commitments.latencyCriticalCount();
        servingMillicores = commitments.latencyCriticalMillicores();
        for (StepSpecification each : commitments.specifications()) {
            if (each.isLatencyCritical()) {
                servingImages.merge(each.serviceLevel().image(), 1, Integer::sum);
            }
        }
    }

    /**
     * Tells whether starts were planned here, so that this is not the room on the host unless they take effect.
     *
     * @return true if room was taken, also if it was given back
     */
    public boolean isPlannedOn() {
        return !planned.isEmpty();
    }

    HostIncarnation host() {
        return report.host();
    }

    String rack() {
        return report.rack();
    }

    String pool() {
        return report.pool();
    }

    int doubt() {
        return doubt;
    }

    boolean hasServing() {
        return serving > 0 || !servingRuns.isEmpty();
    }

    boolean hasFilling() {
        return fillingMillicores > 0;
    }

    /** Returns the runs that serve here, as measured last. */
    List<ServingRun> servingRuns() {
        return servingRuns;
    }

    /** Tells whether one of the runs that serve here has not been measured yet. */
    boolean hasUnmeasuredServing() {
        return serving > servingRuns.size();
    }

    /** Returns the images of the runs that serve here, measured or not. */
    Set<String> servingImages() {
        return Collections.unmodifiableSet(servingImages.keySet());
    }

    /** Returns what the runs are that fill here and are in the log. */
    List<StepSpecification> fillingSteps() {
        return commitments.specifications().stream()
                .filter(each -> each.has(StepTrait.BEST_EFFORT))
                .toList();
    }

    /**
     * Returns the processors that runs which fill may still use, in millicores: what is not committed, and what the runs
     * that serve leave of their commitment, less what others that fill would use.
     */
    long idleMillicores() {
        return free.millicores() + servingMillicores * SERVING_IDLE_PERCENT / 100 - fillingMillicores;
    }

    /** Tells whether one more task of a step fits and is allowed. */
    boolean fits(StepId name, StepSpecification step) {
        int most = step.placementConstraints().maxTasksPerHost();
        return step.allocation().fitsIn(free)
                && report.hasLabel(step.placementConstraints().requiredLabel())
                && (most == 0 || commitments.countOf(name) + planned.getOrDefault(name, 0) < most)
                && (!step.has(StepTrait.BEST_EFFORT) || step.demand().millicores() <= idleMillicores());
    }

    void take(StepId name, StepSpecification step) {
        free = free.minus(step.allocation());
        account(name, step, 1);
    }

    void giveBack(StepId name, StepSpecification step) {
        free = free.plus(step.allocation());
        account(name, step, -1);
    }

    private void account(StepId name, StepSpecification step, int sign) {
        planned.merge(name, sign, Integer::sum);
        if (step.has(StepTrait.BEST_EFFORT)) {
            fillingMillicores += sign * step.demand().millicores();
        }
        if (step.isLatencyCritical()) {
            serving += sign;
            servingMillicores += sign * step.demand().millicores();
            int images = servingImages.merge(step.serviceLevel().image(), sign, Integer::sum);
            if (images == 0) {
                servingImages.remove(step.serviceLevel().image());
            }
        }
    }
}
