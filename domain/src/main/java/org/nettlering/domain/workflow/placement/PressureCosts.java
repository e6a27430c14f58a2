package org.nettlering.domain.workflow.placement;

import java.util.HashMap;
import java.util.Map;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.colocation.ColocationController;

/** The {@link BestEffortCosts} of all images in one plan. Not thread-safe. */
final class PressureCosts {
    private final ColocationController colocation;

    private final Map<String, BestEffortCosts> costsByImage = new HashMap<>();

    PressureCosts(ColocationController colocation) {
        this.colocation = colocation;
    }

    ColocationController colocation() {
        return colocation;
    }

    /** Returns the costs of the image of a best-effort step. */
    BestEffortCosts of(StepSpecification step) {
        return costsByImage.computeIfAbsent(
                step.serviceLevel().image(), image -> new BestEffortCosts(colocation, image));
    }
}
