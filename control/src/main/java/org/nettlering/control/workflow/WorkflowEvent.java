package org.nettlering.control.workflow;

import org.nettlering.runtime.log.LineBudget;
import org.nettlering.runtime.log.LogEvent;
import org.slf4j.event.Level;

/** The numbered log events of queues, jobs and their hosts; docs/EVENTS.md explains each. */
public enum WorkflowEvent implements LogEvent {
    JOB_ACCEPTED(3301, Level.INFO, "job {} accepted in queue {} (configuration {}): {} steps"),
    JOB_CANCELLED(3302, Level.INFO, "job {} cancelled: {}"),
    /** The start of a run was committed; the start command is not sent to the host before. */
    RUN_STARTED(3303, Level.INFO, "run {} starts on host {} at {} in term {}"),
    /** The termination of a run was committed. */
    RUN_ENDED(3304, Level.INFO, "run {} terminated: {}; job phase is {}"),
    /** A queue configuration was submitted; it takes effect only if its version is higher than the current one. */
    QUEUES_REPLACED(3305, Level.INFO, "queue configuration version {} submitted; version {} is in effect"),
    /** The first heartbeat of a host incarnation in this term was received. */
    HOST_JOINED(3306, Level.INFO, "received first heartbeat of host {} at {} in term {}: pool {}, rack {}, {}"),
    /** A host announced its shutdown. */
    HOST_SHUTTING_DOWN(3307, Level.INFO, "host {} is shutting down"),
    /** A host did not accept a command, or no response was received. */
    COMMAND_FAILED(3308, Level.WARN, "command {} to host {} was not carried out: {}"),
    /** An iteration or a tick of the workflow loop failed; later ones still take place. */
    LOOP_FAILED(3309, Level.ERROR, "run of the workflow loop failed"),
    /** The commit of a batch of commands failed or its result is unknown; in the latter case it may still commit. */
    BATCH_FAILED(3310, Level.WARN, "batch of {} workflow commands was not committed: {}"),
    /** This member took over as leader and starts to track the hosts with active runs. */
    LEADERSHIP_STARTED(3311, Level.INFO, "leader of term {} took over {} hosts with active runs"),
    /** A job was rejected by admission and is not stored; the client may submit it again after the delay. */
    JOB_REJECTED(3312, Level.INFO, "job {} rejected in queue {}: retry after {} ms"),
    /** The speeds of best-effort runs colocated with latency-critical runs were changed. */
    THROTTLING_CHANGED(
            3313,
            Level.INFO,
            "host {} with latency-critical runs {} and best-effort runs {}: changing speed percentages to {}"),
    /** The running and pending work, logged periodically. */
    LOAD_SUMMARY(3314, Level.INFO, "running and pending work of the leader of term {}"),
    /** A throttled run is stopped so that its task runs on another host. */
    RUN_MIGRATED(3315, Level.INFO, "stopping throttled run {} on host {} to migrate its task"),
    /** Statistics of the loop, logged periodically. */
    LOOP_SUMMARY(3316, Level.INFO, "workflow loop of the leader of term {} in the last second"),
    /** The lease of a host with active runs was not renewed in time. */
    LEASE_OVERDUE(3317, Level.WARN, "lease of host {} with {} active runs not renewed for {} ms in term {}: {}"),
    /** The lease of a host with active runs was not renewed for longer than it lasts. */
    LEASE_OVERDUE_EXPIRED(
            3318, Level.WARN, "lease of host {} with {} active runs expired: not renewed for {} ms in term {}: {}"),
    /** The lease of a host that was reported is renewed again. */
    LEASE_RENEWED_AGAIN(3319, Level.INFO, "lease of host {} renewed again in term {} after {} ms"),
    /** A run is still tracked although its job is finished. */
    FINISHED_JOB_RUN_TRACKED(
            3320, Level.WARN, "run {} on host {} still tracked {} ms after the end of its job ({}): {}"),
    /** The host has not confirmed the start of a run in time. */
    START_NOT_CONFIRMED(3321, Level.WARN, "start of run {} on host {} not confirmed for {} ms: {}"),
    /** A termination is known, but not committed in time. */
    TERMINATION_NOT_COMMITTED(3322, Level.WARN, "termination of run {} on host {} known, but not committed for {} ms"),
    /** The replicated state contains a run that the leader does not track. */
    ACTIVE_RUN_NOT_TRACKED(3323, Level.WARN, "active run {} on host {} not tracked by the leader of term {} for {} ms"),
    /** The outcome of a batch is not known in time. */
    BATCH_NOT_FINISHED(3324, Level.WARN, "batch of {} workflow commands of the leader of term {} in flight for {} ms"),
    /** The loop or its timer stands still. */
    LOOP_STOOD_STILL(
            3325, Level.WARN, "workflow loop without an iteration for {} ms and a tick for {} ms in term {}: {}"),
    /** No thread of the process ran. */
    PROCESS_STOOD_STILL(3326, Level.WARN, "this process stood still for {} ms"),
    /** The leader decided to stop a run. */
    STOP_REQUESTED(3327, Level.INFO, "stop of run {} on host {} requested: {}"),
    /** Tasks stay pending although hosts have room for them. */
    TASKS_NOT_PLACED(3328, Level.INFO, "no task of step {} started for {} ms although hosts of pool {} have room: {}"),
    /** A part of the workflow loop failed; the other parts of the same iteration are not affected. */
    LOOP_PART_FAILED(3329, Level.ERROR, "part {} of the workflow loop failed for {}"),
    /** A command or a batch has had no outcome within its deadline, and is treated as one whose outcome is unknown. */
    OUTCOME_OVERDUE(3330, Level.ERROR, "{} has had no outcome within its deadline: {}, {} ms"),
    /** A run is stopped so that its task runs on another host, because its host is to be emptied. */
    RUN_MOVED(3331, Level.INFO, "stopping run {} on host {}, which is to be emptied, to move its task"),
    /** The evacuation of a failure domain was started or finished. */
    EVACUATION_CHANGED(3332, Level.INFO, "evacuation of failure domain {} {}: {}"),
    /** The runs on hosts that are to be emptied, by failure domain, logged periodically. */
    DRAIN_SUMMARY(3333, Level.INFO, "runs left on hosts to be emptied, leader of term {}, evacuations version {}: {}"),
    /** A copy of a task that is far behind its siblings is started. */
    COPY_STARTED(3334, Level.INFO, "starting run {} on host {} as a copy of a straggling run"),
    /** A host that shuts down has not reported the end of its runs within the time for which its notice is held. */
    HOST_NOT_EMPTIED(3335, Level.WARN, "host {} shuts down and has not reported the end of its runs for {} ms");

    private final int number;

    private final Level level;

    private final String pattern;

    WorkflowEvent(int number, Level level, String pattern) {
        this.number = number;
        this.level = level;
        this.pattern = pattern;
    }

    @Override
    public int number() {
        return number;
    }

    @Override
    public Level level() {
        return level;
    }

    @Override
    public String pattern() {
        return pattern;
    }

    @Override
    public int linesPerSecond() {
        return switch (this) {
            case JOB_ACCEPTED,
                    JOB_CANCELLED,
                    JOB_REJECTED,
                    RUN_STARTED,
                    RUN_ENDED,
                    RUN_MIGRATED,
                    RUN_MOVED,
                    COPY_STARTED,
                    HOST_JOINED,
                    STOP_REQUESTED -> LineBudget.JOB_LIFE;
            case COMMAND_FAILED,
                    LEASE_OVERDUE,
                    LEASE_OVERDUE_EXPIRED,
                    LEASE_RENEWED_AGAIN,
                    FINISHED_JOB_RUN_TRACKED,
                    START_NOT_CONFIRMED,
                    TERMINATION_NOT_COMMITTED,
                    ACTIVE_RUN_NOT_TRACKED -> LineBudget.DETAIL;
            default -> LogEvent.super.linesPerSecond();
        };
    }
}
