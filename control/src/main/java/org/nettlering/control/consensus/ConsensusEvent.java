package org.nettlering.control.consensus;

import org.nettlering.runtime.log.LogEvent;
import org.slf4j.event.Level;

/** The log events of the replicated log. */
enum ConsensusEvent implements LogEvent {
    /** This member began to lead. */
    LEADERSHIP_GAINED(4001, Level.INFO, "this member leads term {}"),
    /** This member no longer leads. */
    LEADERSHIP_LOST(4002, Level.WARN, "this member no longer leads term {}: {}"),
    /** The member learned who leads. */
    LEADER_CHANGED(4003, Level.INFO, "in term {} the leader is member {}"),
    /** The member stands for election. */
    ELECTION_STARTED(4004, Level.INFO, "this member stands for election in term {}"),
    /** A membership took effect. */
    MEMBERSHIP_CHANGED(4005, Level.INFO, "entry {} sets the membership: {}"),
    /** A voter answers with another disk. */
    DISK_REPLACED(
            4006, Level.WARN, "member {} came back with another disk; it gets its vote again once it has caught up"),
    /** A snapshot was saved. */
    SNAPSHOT_SAVED(4007, Level.INFO, "saved a snapshot up to entry {} ({} bytes)"),
    /** A snapshot was taken over from the leader. */
    SNAPSHOT_INSTALLED(4008, Level.INFO, "took over the leader's snapshot up to entry {} ({} bytes)"),
    /** The member stopped for good. */
    MEMBER_FAILED(4009, Level.ERROR, "the member stopped: {}"),
    /** The group took the member in, or had before. */
    JOIN_ACCEPTED(4010, Level.INFO, "the group takes member {} in"),
    /** The group could not be asked to take the member in, or refused for now. */
    JOIN_REFUSED(4011, Level.INFO, "the group does not take member {} in yet: {}"),
    /** A message or an event was lost because it could not be handed over. */
    EFFECT_FAILED(4012, Level.ERROR, "a message or event of this member was lost: {}"),
    /** The disk refuses writes, which are tried again. */
    WRITES_REFUSED(4013, Level.WARN, "the disk refuses writes, which are tried again: {}"),
    /** A command could not be applied. */
    COMMAND_FAILED(4014, Level.ERROR, "entry {} of the log could not be applied and was passed over"),
    /** The leader removes a voter that has been unreachable for long. */
    VOTER_REMOVED(4015, Level.WARN, "voter {} has not responded for {} ms or more and is removed from the group"),
    /** The removal of an unreachable voter was refused, or its outcome is unknown. */
    VOTER_KEPT(4016, Level.INFO, "unreachable voter {} is not removed yet: {}");

    /** The number of the event. */
    private final int number;

    /** The level at which it is logged. */
    private final Level level;

    /** The message with a placeholder for each argument. */
    private final String pattern;

    ConsensusEvent(int number, Level level, String pattern) {
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
}
