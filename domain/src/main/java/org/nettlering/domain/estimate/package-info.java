/** Estimates of resource use, power draw and run time for each class of work, learned from the workers' measurements. */
@NullMarked
package org.nettlering.domain.estimate;

import org.jspecify.annotations.NullMarked;
