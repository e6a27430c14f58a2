package org.nettlering.domain.workflow.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.sharing.ServingRun;
import org.nettlering.domain.workflow.sharing.SharingGuard;

/**
 * What the runs that serve on one host are strained by while starts are planned: their own load, what fills beside them at
 * full pace, and what this plan adds.
 *
 * <p>Not thread-safe.
 */
final class HostStrain {
    /** The own strain, in thousandths, of a run that serves and was not measured yet. */
    private static final long UNMEASURED_STRAIN = 500;

    /** What was learned of the images that share hosts. */
    private final SharingGuard sharing;

    /** The strain of the runs that serve, in thousandths, the largest of each image. */
    private final Map<String, Long> strains = new HashMap<>();

    /** What one more run adds to each image, by what it is; asked for again and again within one plan. */
    private final Map<Filling, Effect> effects = new HashMap<>();

    HostStrain(SharingGuard sharing, HostRoom room) {
        this.sharing = sharing;
        for (ServingRun run : room.servingRuns()) {
            strains.merge(run.image(), sharing.ownStrain(room.host().id(), run), Math::max);
        }
        if (room.hasUnmeasuredServing()) {
            room.servingImages().forEach(image -> strains.merge(image, UNMEASURED_STRAIN, Math::max));
        }
        room.fillingSteps().forEach(this::add);
    }

    /** What a run that fills is, as far as it matters here. */
    private record Filling(String image, long millicores) {}

    /**
     * What one more run would do.
     *
     * @param added the largest strain that it adds to a run that serves, in thousandths
     * @param resulting the largest strain with it, in thousandths
     * @param bearable whether every target would hold
     */
    record Effect(long added, long resulting, boolean bearable) {
        /** Nobody is served. */
        private static final Effect NONE = new Effect(0, 0, true);
    }

    /** Returns what one more task of a step that fills would do. */
    Effect effectOf(StepSpecification step) {
        Filling filling = new Filling(step.serviceLevel().image(), step.demand().millicores());
        return effects.computeIfAbsent(filling, this::effect);
    }

    private Effect effect(Filling filling) {
        Effect effect = Effect.NONE;
        for (Map.Entry<String, Long> serving : strains.entrySet()) {
            long added = sharing.addedStrain(serving.getKey(), filling.image(), filling.millicores());
            long resulting = serving.getValue() + added;
            effect = new Effect(
                    Math.max(effect.added(), added),
                    Math.max(effect.resulting(), resulting),
                    effect.bearable() && SharingGuard.isBearable(resulting, added));
        }
        return effect;
    }

    /** Counts one more task of a step that fills. */
    void add(StepSpecification step) {
        List<String> images = new ArrayList<>(strains.keySet());
        for (String image : images) {
            long added = sharing.addedStrain(
                    image, step.serviceLevel().image(), step.demand().millicores());
            strains.merge(image, added, Long::sum);
        }
        effects.clear();
    }
}
