package org.nettlering.domain.upstream;

/** The result of adding an announcement to the directory. */
public enum AnnouncementResult {
    /** The announcement is the newest one of its instance and was stored. */
    ACCEPTED,
    /** The directory already has the same or a newer announcement of the instance. */
    SUPERSEDED,
    /** The announcement is older than {@link UpstreamDirectory#ANNOUNCEMENT_LIFETIME}. */
    EXPIRED,
    /** The directory cannot hold another instance. */
    FULL
}
