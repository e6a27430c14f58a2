/** Which profile a job runs under now; used by everything that decides about tasks. */
@NullMarked
package org.nettlering.domain.profile;

import org.jspecify.annotations.NullMarked;
