package org.nettlering.domain.workflow.placement;

import java.util.HashMap;
import java.util.Map;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.workflow.HostAddress;
import org.nettlering.domain.workflow.HostCommitments;
import org.nettlering.domain.workflow.StepName;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.StepTrait;
import org.nettlering.domain.workflow.host.HostReport;

/**
 * The room on one host while starts are planned.
 *
 * <p>Begins with what the log commits and takes in each start that is planned. Not thread-safe.
 */
public final class HostRoom {
    /** What the host told of itself. */
    private final HostReport report;

    /** How much the host is to be avoided; zero for a sound one. */
    private final int doubt;

    /** What the log commits, or nothing. */
    private final HostCommitments commitments;

    /** How many tasks of each step were planned here. */
    private final Map<StepName, Integer> planned = new HashMap<>();

    /** What is not committed. */
    private Resources free;

    /** The processors that runs which only fill would use, in millicores. */
    private long fillingMillicores;

    /** How many runs serve users. */
    private int serving;

    /**
     * Measures the room on a host.
     *
     * @param report what the host told of itself, not null
     * @param commitments what the log commits there, not null
     * @param doubt how much the host is to be avoided, zero for a sound one
     * @return the room, never null
     */
    public static HostRoom of(HostReport report, HostCommitments commitments, int doubt) {
        return new HostRoom(report, commitments, doubt);
    }

    private HostRoom(HostReport report, HostCommitments commitments, int doubt) {
        this.report = report;
        this.doubt = doubt;
        this.commitments = commitments;
        free = report.capacity().minus(commitments.committed());
        fillingMillicores = commitments.fillingMillicores();
        serving = commitments.serving();
    }

    HostAddress host() {
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
        return serving > 0;
    }

    boolean hasFilling() {
        return fillingMillicores > 0;
    }

    /** Returns the processors that neither commitments nor runs that fill would use, in millicores. */
    long idleMillicores() {
        return free.millicores() - fillingMillicores;
    }

    /** Tells whether one more task of a step fits and is allowed. */
    boolean fits(StepName name, StepSpecification step) {
        int most = step.locality().maxPerHost();
        return step.commitment().fitsIn(free)
                && report.hasLabel(step.locality().requiredLabel())
                && (most == 0 || commitments.countOf(name) + planned.getOrDefault(name, 0) < most)
                && (!step.has(StepTrait.FILLS) || step.demand().millicores() <= idleMillicores());
    }

    void take(StepName name, StepSpecification step) {
        free = free.minus(step.commitment());
        account(name, step, 1);
    }

    void giveBack(StepName name, StepSpecification step) {
        free = free.plus(step.commitment());
        account(name, step, -1);
    }

    private void account(StepName name, StepSpecification step, int sign) {
        planned.merge(name, sign, Integer::sum);
        if (step.has(StepTrait.FILLS)) {
            fillingMillicores += sign * step.demand().millicores();
        }
        if (step.serves()) {
            serving += sign;
        }
    }
}
