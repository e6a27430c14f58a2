package org.nettlering.project;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.nettlering.control.workflow.WorkflowEvent;

/** Holds scripts/lost-time and the events of the leader together. */
class LostTimeTest {
    @TempDir
    private Path folder;

    @Test
    void theTimeOfALateJobIsSplitByWhatItsLastTaskWaitedFor() throws Exception {
        CollectedLog log = new CollectedLog(folder);
        log.addWithFields(
                0,
                WorkflowEvent.JOB_ACCEPTED,
                Map.of("kind", "BEST_EFFORT", "allowedMillis", 4_000),
                "3fd85c",
                "corrections",
                3,
                1);
        start(log, 500, "3fd85c.0.0.0#1");
        log.add(1_500, WorkflowEvent.RUN_ENDED, "3fd85c.0.0.0#1", "DONE", "RUNNING");
        start(log, 2_500, "3fd85c.0.0.1#1");
        log.add(3_000, WorkflowEvent.STOP_REQUESTED, "3fd85c.0.0.1#1", "h", "MIGRATED");
        log.add(3_500, WorkflowEvent.RUN_ENDED, "3fd85c.0.0.1#1", "STOPPED", "RUNNING");
        start(log, 4_000, "3fd85c.0.0.1#2");
        log.add(5_000, WorkflowEvent.THROTTLING_CHANGED, "h", "[]", "[]", "{3fd85c.0.0.1#2=50}");
        log.add(7_000, WorkflowEvent.RUN_ENDED, "3fd85c.0.0.1#2", "DONE", "COMPLETED");
        log.add(8_000, WorkflowEvent.JOB_REJECTED, "b7", "corrections", 500);
        assertThat(log.print("lost-time").get(1))
                .matches("corrections +BEST_EFFORT +1 +1 +0 +1 +start 0.50 room 2.00 run 3.00 throttled 1.00 "
                        + "moved 1.50 failed 0.00 stalled 0.00");
    }

    private static void start(CollectedLog log, long millis, String run) {
        log.add(millis, WorkflowEvent.RUN_STARTED, run, "h", "10.0.0.1:80", 2);
    }
}
