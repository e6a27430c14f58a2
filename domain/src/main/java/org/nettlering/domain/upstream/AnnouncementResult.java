package org.nettlering.domain.upstream;

/** What the directory did with an announcement. */
public enum AnnouncementResult {
    /** It is the newest one of its instance. */
    ACCEPTED,
    /** A newer one, or the same one, is known. */
    SUPERSEDED,
    /** It is too old to be used. */
    EXPIRED,
    /** The directory is full. */
    FULL
}
