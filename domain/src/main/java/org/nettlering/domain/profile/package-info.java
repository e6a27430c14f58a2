/** Looks up the profile that applies to a job. */
@NullMarked
package org.nettlering.domain.profile;

import org.jspecify.annotations.NullMarked;
