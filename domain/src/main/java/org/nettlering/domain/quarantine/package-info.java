/** Keeps new tasks off workers that fail what others complete. */
@NullMarked
package org.nettlering.domain.quarantine;

import org.jspecify.annotations.NullMarked;
