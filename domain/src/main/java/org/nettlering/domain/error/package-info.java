/** Error codes and the unchecked exception that carries them; used by all other packages. */
@NullMarked
package org.nettlering.domain.error;

import org.jspecify.annotations.NullMarked;
