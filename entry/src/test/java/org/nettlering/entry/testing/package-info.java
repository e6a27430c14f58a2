/** Small fakes of the processes around an entry, for its tests. */
@NullMarked
package org.nettlering.entry.testing;

import org.jspecify.annotations.NullMarked;
