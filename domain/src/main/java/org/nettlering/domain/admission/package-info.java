/**
 * Admission control: which requests are granted a slot, which are queued and which are rejected.
 *
 * <p>Uses {@code domain.routing} to select an upstream and {@code domain.upstream} for the announcements of upstreams.
 * It is used by the server of the entry that accepts the requests of callers, and by the routing benchmark.
 */
@NullMarked
package org.nettlering.domain.admission;

import org.jspecify.annotations.NullMarked;
