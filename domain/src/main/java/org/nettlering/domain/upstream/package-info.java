/**
 * The announcements of upstreams, and the directory in which each entry stores them.
 *
 * <p>The directory is filled by the platform port of the entry and by the gossip between entries.
 * {@code domain.admission} gets the upstreams of a service from it.
 */
@NullMarked
package org.nettlering.domain.upstream;

import org.jspecify.annotations.NullMarked;
