package org.nettlering.project;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.nettlering.control.workflow.WorkflowEvent;

/** Holds scripts/job-history and the events of the leader together: the lines are made of the patterns of the code. */
class JobHistoryTest {
    private static final String RUN = "3fd85c.0.0.12#2";

    @TempDir
    private Path folder;

    private @Nullable CollectedLog log;

    @Test
    void aRunThatWentOnAfterTheCancellationIsExplainedByItsStopAndByTheLeaseOfItsHost() throws Exception {
        log(1_000, WorkflowEvent.JOB_ACCEPTED, "3fd85c", "q", 3, 1);
        log(1_010, WorkflowEvent.RUN_STARTED, RUN, "i-96", "10.0.0.1:80", 2);
        log(2_000, WorkflowEvent.LEASE_OVERDUE, "i-aa", 4, 2_100, 2, "LeaseDetails[waitsFor=LOOP]");
        log(30_000, WorkflowEvent.JOB_CANCELLED, "3fd85c", "APPLIED");
        log(30_001, WorkflowEvent.STOP_REQUESTED, RUN, "i-96", "JOB_CANCELLED");
        log(31_000, WorkflowEvent.LEASE_OVERDUE, "i-96", 4, 2_100, 2, "LeaseDetails[waitsFor=POLL_IN_FLIGHT]");
        log(31_000, WorkflowEvent.LEASE_OVERDUE, "i-bb", 4, 2_100, 2, "LeaseDetails[waitsFor=LOOP]");
        log(
                31_100,
                WorkflowEvent.FINISHED_JOB_RUN_TRACKED,
                RUN,
                "i-96",
                1_100,
                "CANCELLED",
                "stage CONFIRMED; stop not sent");
        log(31_500, WorkflowEvent.LOOP_STOOD_STILL, 1_500, 40, 2, "iteration: in progress");
        log(34_000, WorkflowEvent.LEASE_OVERDUE_EXPIRED, "i-96", 4, 5_100, 2, "LeaseDetails[waitsFor=POLL_IN_FLIGHT]");
        log(35_000, WorkflowEvent.RUN_ENDED, RUN, "LAPSED", "CANCELLED");
        log(39_000, WorkflowEvent.BATCH_NOT_FINISHED, 4, 2, 1_000);
        assertThat(notes("3fd85c"))
                .containsExactly(
                        "cause: run " + RUN
                                + " on host i-96 still tracked 1100 ms after the end of its job (CANCELLED): "
                                + "stage CONFIRMED; stop not sent",
                        "cause: lease of host i-96 with 4 active runs expired: not renewed for 5100 ms in term 2: "
                                + "LeaseDetails[waitsFor=POLL_IN_FLIGHT] (2 lines, this is the last)",
                        "cause: workflow loop without an iteration for 1500 ms and a tick for 40 ms in term 2: "
                                + "iteration: in progress",
                        "meanwhile: leases of 1 other hosts were not renewed in time");
    }

    @Test
    void aRunThatNobodyStoppedIsNamed() throws Exception {
        log(1_000, WorkflowEvent.RUN_STARTED, RUN, "i-96", "10.0.0.1:80", 2);
        log(30_000, WorkflowEvent.JOB_CANCELLED, "3fd85c", "APPLIED");
        log(30_100, WorkflowEvent.LEADERSHIP_STARTED, 3, 40);
        log(35_000, WorkflowEvent.RUN_ENDED, RUN, "LAPSED", "CANCELLED");
        assertThat(notes("3fd85c"))
                .containsExactly(
                        "cause: no stop of run " + RUN + " was requested although its job was cancelled",
                        "meanwhile: 30100 NTL-3311 INFO leader of term 3 took over 40 hosts with active runs");
    }

    @Test
    void aTaskThatDoesNotStartIsExplained() throws Exception {
        log(1_000, WorkflowEvent.JOB_ACCEPTED, "b7", "q", 3, 1);
        log(3_000, WorkflowEvent.TASKS_NOT_PLACED, "b7.0.0", 2_000, "p", "PendingDetails[hostsWithRoom={DRAINING=2}]");
        log(4_000, WorkflowEvent.TASKS_NOT_PLACED, "b7.0.0", 3_000, "p", "PendingDetails[hostsWithRoom={DRAINING=3}]");
        log(5_000, WorkflowEvent.BATCH_NOT_FINISHED, 4, 2, 1_000);
        assertThat(notes("b7"))
                .containsExactly(
                        "cause: no task of step b7.0.0 started for 3000 ms although hosts of pool p have room: "
                                + "PendingDetails[hostsWithRoom={DRAINING=3}] (2 lines, this is the last)",
                        "cause: batch of 4 workflow commands of the leader of term 2 in flight for 1000 ms",
                        "cause: no start was committed");
    }

    @Test
    void aCommittedStartThatIsNotCarriedOutIsExplained() throws Exception {
        log(1_000, WorkflowEvent.JOB_ACCEPTED, "b7", "q", 3, 1);
        log(1_010, WorkflowEvent.RUN_STARTED, "b7.0.0.0#1", "i-96", "10.0.0.1:80", 2);
        log(3_000, WorkflowEvent.START_NOT_CONFIRMED, "b7.0.0.0#1", "i-96", 2_000, "stage START_PENDING");
        log(4_000, WorkflowEvent.TERMINATION_NOT_COMMITTED, "b7.0.0.0#1", "i-96", 2_000);
        log(5_000, WorkflowEvent.ACTIVE_RUN_NOT_TRACKED, "b7.0.0.0#1", "i-96", 3, 2_000);
        assertThat(notes("b7"))
                .containsExactly(
                        "cause: start of run b7.0.0.0#1 on host i-96 not confirmed for 2000 ms: stage START_PENDING",
                        "cause: termination of run b7.0.0.0#1 on host i-96 known, but not committed for 2000 ms",
                        "cause: active run b7.0.0.0#1 on host i-96 not tracked by the leader of term 3 for 2000 ms");
    }

    @Test
    void earlierCausesAreStillNamed() throws Exception {
        log(1_000, WorkflowEvent.JOB_REJECTED, "b7", "q", 500);
        log(2_000, WorkflowEvent.JOB_ACCEPTED, "b7", "q", 3, 1);
        log(2_700, WorkflowEvent.RUN_STARTED, "b7.0.0.0#1", "i-96", "10.0.0.1:80", 2);
        log(2_800, WorkflowEvent.COMMAND_FAILED, "Start[b7.0.0.0#1]", "i-96", "NotSent[problem=refused]");
        log(2_900, WorkflowEvent.RUN_ENDED, "b7.0.0.0#1", "NOT_BEGUN by NotSent[]", "RUNNING");
        log(2_950, WorkflowEvent.LOAD_SUMMARY, 2);
        assertThat(notes("b7"))
                .containsExactly(
                        "cause: job b7 rejected in queue q: retry after 500 ms",
                        "cause: run b7.0.0.0#1 terminated: NOT_BEGUN by NotSent[]; job phase is RUNNING",
                        "cause: 1 commands were not carried out, the last: NotSent[problem=refused]",
                        "cause: waited 700 ms for its first start",
                        "meanwhile: 2950 NTL-3314 INFO running and pending work of the leader of term 2");
    }

    @Test
    void valuesBesideAMessageArePutBehindIt() throws Exception {
        log(1_000, WorkflowEvent.JOB_ACCEPTED, "b7", "q", 3, 1);
        log(2_000, WorkflowEvent.RUN_STARTED, "b7.0.0.0#1", "i-96", "10.0.0.1:80", 2);
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("planMaxMicros", 7);
        fields.put("outcomes.look.unanswered_closed", 2);
        collected().addWithFields(2_500, WorkflowEvent.LOOP_SUMMARY, fields, 2);
        assertThat(notes("b7"))
                .contains("meanwhile: 2500 NTL-3316 INFO workflow loop of the leader of term 2 in the last second "
                        + "planMaxMicros=7 outcomes.look.unanswered_closed=2");
    }

    private void log(long millis, WorkflowEvent event, Object... arguments) {
        collected().add(millis, event, arguments);
    }

    private CollectedLog collected() {
        CollectedLog existing = log;
        if (existing == null) {
            existing = new CollectedLog(folder);
            log = existing;
        }
        return existing;
    }

    /** Returns the lines that the script prints behind the history. */
    private List<String> notes(String id) throws IOException, InterruptedException {
        return collected().print("job-history", id).stream()
                .filter(line -> !Character.isDigit(line.charAt(0)))
                .toList();
    }
}
