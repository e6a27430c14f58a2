/** Sizes, draws and run times learned for each class of work from what workers measured. */
@NullMarked
package org.nettlering.domain.estimate;

import org.jspecify.annotations.NullMarked;
