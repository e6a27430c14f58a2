package org.nettlering.control.task;

import org.nettlering.runtime.log.LineBudget;
import org.nettlering.runtime.log.LogEvent;
import org.slf4j.event.Level;

/** The numbered events of jobs and workers; docs/EVENTS.md explains each. */
public enum TaskEvent implements LogEvent {
    /** A worker opened a session. */
    WORKER_REGISTERED(3201, Level.INFO, "worker {} registered with incarnation {}"),
    /** A worker's lease ended. */
    WORKER_LOST(3202, Level.WARN, "worker {} is lost: its lease and the clock-drift bound have passed"),
    /** A worker gets no new tasks for a while. */
    WORKER_QUARANTINED(3203, Level.WARN, "worker {} gets no new task: {}"),
    /** A job can never run as the site is now. */
    JOB_UNRUNNABLE(3204, Level.WARN, "job {} cannot run: {}"),
    /** A task has to leave its worker. */
    TASK_EVICTED(3205, Level.INFO, "job {} has to leave its worker: {}"),
    /** A task failed on a worker. */
    TASK_FAILED(3206, Level.WARN, "job {} failed in epoch {}: {}"),
    /** A proposal failed and is made again while it still holds. */
    PROPOSAL_FAILED(3207, Level.WARN, "a proposal of the scheduler failed: {}");

    /** The number. */
    private final int number;

    /** The level. */
    private final Level level;

    /** The message. */
    private final String pattern;

    TaskEvent(int number, Level level, String pattern) {
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
        return LineBudget.JOB_LIFE;
    }
}
