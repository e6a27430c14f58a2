package org.nettlering.control.workflow;

import org.nettlering.runtime.log.LineBudget;
import org.nettlering.runtime.log.LogEvent;
import org.slf4j.event.Level;

/** The numbered events of queues, jobs of steps and their hosts; docs/EVENTS.md explains each. */
public enum WorkflowEvent implements LogEvent {
    /** A job was accepted. */
    JOB_ACCEPTED(3301, Level.INFO, "job {} accepted in queue {} (configuration {}): {} steps"),
    /** A job was cancelled. */
    JOB_CANCELLED(3302, Level.INFO, "job {} cancelled: {}"),
    /** A run was started. */
    RUN_STARTED(3303, Level.INFO, "run {} starts on host {} at {} in term {}"),
    /** A run ended. */
    RUN_ENDED(3304, Level.INFO, "run {} ended: {}; job is {}"),
    /** The queues were replaced. */
    QUEUES_REPLACED(3305, Level.INFO, "configuration of queues {} asked for, {} in force"),
    /** A host reported for the first time in this term. */
    HOST_JOINED(3306, Level.INFO, "host {} at {} reports to the leader of term {}: pool {}, rack {}, {}"),
    /** A host says that it leaves. */
    HOST_SHUTTING_DOWN(3307, Level.INFO, "host {} leaves"),
    /** An order was not carried out as asked. */
    COMMAND_FAILED(3308, Level.WARN, "order {} to host {} was not carried out: {}"),
    /** The leader's loop failed. */
    LOOP_FAILED(3309, Level.ERROR, "the loop that starts tasks failed"),
    /** A batch of changes did not get into the log. */
    BATCH_FAILED(3310, Level.WARN, "a batch of {} changes of jobs was not logged: {}"),
    /** A new leader takes over the hosts with runs. */
    LEADERSHIP_STARTED(3311, Level.INFO, "the leader of term {} follows {} hosts with runs"),
    /** A job was rejected and never runs. */
    JOB_REJECTED(3312, Level.INFO, "job {} rejected in queue {}: come back in {} ms"),
    /** The paces of runs that fill beside runs that serve were changed. */
    THROTTLING_CHANGED(3313, Level.INFO, "host {} with serving runs {} and filling runs {}: paces become {}"),
    /** What is at work and what waits. */
    LOAD_SUMMARY(3314, Level.INFO, "the leader of term {} has at work and waiting: {}"),
    /** A run that was held back is stopped, so that its task goes on elsewhere. */
    RUN_MIGRATED(3315, Level.INFO, "run {} is held back on host {} and is stopped to go on elsewhere"),
    /** How the loop did in the last second. */
    LOOP_SUMMARY(3316, Level.INFO, "the loop of the leader of term {} in the last second: {}");

    /** The number. */
    private final int number;

    /** The level. */
    private final Level level;

    /** The message. */
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
            case JOB_ACCEPTED, JOB_CANCELLED, JOB_REJECTED, RUN_STARTED, RUN_ENDED, RUN_MIGRATED, HOST_JOINED ->
                LineBudget.JOB_LIFE;
            case COMMAND_FAILED -> LineBudget.DETAIL;
            default -> LogEvent.super.linesPerSecond();
        };
    }
}
