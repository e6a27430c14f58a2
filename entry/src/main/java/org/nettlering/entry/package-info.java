/**
 * The entry process, which routes requests of callers to upstreams.
 *
 * <ul>
 *   <li>{@code entry.callers} accepts requests;
 *   <li>{@code entry.upstreams} holds the connections to upstreams;
 *   <li>{@code entry.announcements} accepts announcements of upstreams;
 *   <li>{@code entry.gossip} exchanges announcements, loads and slots with the other entries;
 *   <li>{@code entry.configuration} replicates the configuration;
 *   <li>{@code entry.ledger} reserves idempotency keys;
 *   <li>{@code entry.lifecycle} tracks readiness and shutdown;
 *   <li>{@code entry.operators} forwards requests of operators and reports of workers to the control leader;
 *   <li>{@code entry.workflow} monitors the connection to the control leader.
 * </ul>
 */
@NullMarked
package org.nettlering.entry;

import org.jspecify.annotations.NullMarked;
