package org.nettlering.domain.workflow.placement;

import java.util.HashMap;
import java.util.Map;
import org.nettlering.domain.workflow.colocation.ColocationController;

/**
 * The latency pressure that one best-effort image adds to latency-critical ones.
 *
 * <p>Each value is that of its first use, so that all decisions of one plan are based on the same costs. Not thread-safe.
 */
final class BestEffortCosts {
    private static final double MILLICORES_PER_CORE = 1_000;

    private final ColocationController colocation;

    private final String image;

    /** The pressure for each processor, in thousandths, by latency-critical image. */
    private final Map<String, Double> perProcessor = new HashMap<>();

    BestEffortCosts(ColocationController colocation, String image) {
        this.colocation = colocation;
        this.image = image;
    }

    /** Returns the pressure that a best-effort run with some processors adds, in thousandths. */
    long addedPressure(String latencyCriticalImage, long millicores) {
        Double cost = perProcessor.get(latencyCriticalImage);
        if (cost == null) {
            cost = colocation.addedPressurePerProcessor(latencyCriticalImage, image);
            perProcessor.put(latencyCriticalImage, cost);
        }
        return Math.round(cost * millicores / MILLICORES_PER_CORE);
    }
}
