/** Quarantine of workers whose tasks fail although they complete on other workers. */
@NullMarked
package org.nettlering.domain.quarantine;

import org.jspecify.annotations.NullMarked;
