/**
 * Upstreams as they announce themselves, and the directory that each entry keeps of them.
 *
 * <p>The entry's platform port and the gossip between entries feed the directory; {@code domain.admission} reads it.
 */
@NullMarked
package org.nettlering.domain.upstream;

import org.jspecify.annotations.NullMarked;
