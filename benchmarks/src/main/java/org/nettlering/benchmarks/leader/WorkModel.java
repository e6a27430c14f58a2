package org.nettlering.benchmarks.leader;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.workflow.JobDefinition;
import org.nettlering.domain.workflow.PlacementConstraints;
import org.nettlering.domain.workflow.Recurrence;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.StepServiceLevel;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.StepTrait;
import org.nettlering.domain.workflow.host.HostResponse;
import org.nettlering.domain.workflow.host.HostResponse.ReportedRun;

/**
 * The jobs of the users' grown site in Ankara, and how long their tasks take. The same seed gives the same jobs. Not
 * thread-safe.
 */
final class WorkModel {
    static final String POOL = "pool";

    /** Images of the tasks that fill. */
    private static final int FILLING_IMAGES = 18;

    /** Images of the tasks that serve. */
    private static final int SERVING_IMAGES = 10;

    /** The target of the tasks that serve, in milliseconds. */
    private static final long TARGET_MILLIS = 45;

    /** The tail of the tasks that serve, in milliseconds. */
    private static final long TAIL_MILLIS = 16;

    private static final int NANOS_PER_MILLI = 1_000_000;

    private final StageClock clock;
    private final Random random = new Random(1);
    private final Map<String, JobDefinition> jobs = new HashMap<>();

    WorkModel(StageClock clock) {
        this.clock = clock;
    }

    /** Makes a review: two steps of 20 tasks of 1.7 s that fill. */
    JobDefinition review(String jobId) {
        StepServiceLevel sharing = new StepServiceLevel("fill-" + random.nextInt(FILLING_IMAGES), 0, -1);
        Resources demand = Resources.of(between(2_500, 4_500), between(4_500, 8_300), 0);
        Set<StepTrait> traits = Set.of(StepTrait.BEST_EFFORT, StepTrait.CHECKPOINTING);
        return keep(
                jobId,
                new StepSpecification(20, demand, 1_700, List.of(), traits, PlacementConstraints.NONE, sharing),
                new StepSpecification(20, demand, 1_700, List.of(0), traits, PlacementConstraints.NONE, sharing));
    }

    /** Makes a dunning: one step of ten tasks of 1 s. */
    JobDefinition dunning(String jobId) {
        Resources demand = Resources.of(between(3_700, 7_700), between(8_000, 14_000), 0);
        return keep(jobId, plain(10, demand, 1_000, Set.of(), StepServiceLevel.UNSPECIFIED));
    }

    /** Makes a watch: 14 tasks that last and serve. */
    JobDefinition watch(String jobId) {
        StepServiceLevel sharing = new StepServiceLevel("serve-" + random.nextInt(SERVING_IMAGES), TARGET_MILLIS, 1);
        Resources demand = Resources.of(between(4_800, 8_000), between(9_000, 17_000), 0);
        return keep(jobId, plain(14, demand, 320, Set.of(StepTrait.LONG_RUNNING), sharing));
    }

    /** Makes a job of 20 tasks that fit on no host. */
    JobDefinition tooLarge(String jobId) {
        Resources demand = Resources.of(between(33_000, 45_000), between(4_500, 8_300), 0);
        return keep(jobId, plain(20, demand, 1_700, Set.of(), StepServiceLevel.UNSPECIFIED));
    }

    private static StepSpecification plain(
            int count, Resources demand, long runtimeMillis, Set<StepTrait> traits, StepServiceLevel sharing) {
        return new StepSpecification(
                count, demand, runtimeMillis, List.of(), traits, PlacementConstraints.NONE, sharing);
    }

    private JobDefinition keep(String jobId, StepSpecification... steps) {
        JobDefinition definition = new JobDefinition("work", List.of(steps), Recurrence.ONCE);
        jobs.put(jobId, definition);
        return definition;
    }

    private int between(int least, int most) {
        return least + random.nextInt(most - least);
    }

    private StepSpecification stepOf(RunId run) {
        JobDefinition job = jobs.get(run.task().step().jobId());
        if (job == null) {
            throw new IllegalStateException("nobody submitted the job of " + run);
        }
        return job.steps().get(run.task().step().number());
    }

    /** Returns how long a run takes, or empty for one that lasts. */
    Optional<Duration> runtime(RunId run) {
        StepSpecification step = stepOf(run);
        long estimate = step.estimatedRuntimeMillis();
        return step.has(StepTrait.LONG_RUNNING)
                ? Optional.empty()
                : Optional.of(Duration.ofMillis(estimate / 2 + random.nextInt((int) estimate)));
    }

    /** Returns how a host lists a run that is at work. */
    ReportedRun listed(RunId run, long sinceNanos) {
        StepSpecification step = stepOf(run);
        if (step.isLatencyCritical()) {
            return new ReportedRun(run, "", 100, TAIL_MILLIS + random.nextInt(4));
        }
        long percent = sinceNanos / NANOS_PER_MILLI * 50 / step.estimatedRuntimeMillis();
        return new ReportedRun(
                run, "", (int) Math.min(99, percent), step.demand().millicores());
    }

    /** Hands an answer to the product. */
    void answer(CompletableFuture<HostResponse> future, HostResponse answer) {
        clock.run(Stage.LOOP, () -> future.complete(answer));
    }
}
