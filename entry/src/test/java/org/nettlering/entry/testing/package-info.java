/** Test fixtures: fakes of the callers, upstreams, peers and control members of an entry. */
@NullMarked
package org.nettlering.entry.testing;

import org.jspecify.annotations.NullMarked;
