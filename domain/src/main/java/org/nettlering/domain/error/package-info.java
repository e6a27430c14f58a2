/** Error codes and the unchecked exception that carries them; used by every other package. */
@NullMarked
package org.nettlering.domain.error;

import org.jspecify.annotations.NullMarked;
