package org.nettlering.domain.upstream;

import java.time.Duration;

/**
 * An announcement and an upper bound of its age, the time since the upstream made it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param announcement the announcement, not null
 * @param age an upper bound of the age, not null
 */
public record AgedAnnouncement(UpstreamAnnouncement announcement, Duration age) {}
