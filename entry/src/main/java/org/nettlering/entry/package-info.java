/**
 * The entry process: callers' requests, announcements of upstreams, and the way to the control members.
 *
 * <p>{@code entry.callers} takes requests, {@code entry.upstreams} holds the connections to upstreams, {@code entry.platform}
 * takes announcements, {@code entry.gossip} talks to the other entries, {@code entry.configuration} follows the replicated
 * configuration, {@code entry.ledger} reserves idempotency keys, {@code entry.lifecycle} knows whether the process is ready.
 */
@NullMarked
package org.nettlering.entry;

import org.jspecify.annotations.NullMarked;
