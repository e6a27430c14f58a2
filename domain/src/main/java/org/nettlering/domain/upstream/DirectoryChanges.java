package org.nettlering.domain.upstream;

import java.util.List;

/**
 * The announcements that an entry received directly from upstreams after a given version of its directory.
 *
 * <p>Immutable and thread-safe.
 *
 * @param version the version of the directory up to which the announcements are complete
 * @param announcements the announcements with their ages, not null
 */
public record DirectoryChanges(long version, List<AgedAnnouncement> announcements) {
    /** Copies the list of announcements. */
    public DirectoryChanges {
        announcements = List.copyOf(announcements);
    }
}
