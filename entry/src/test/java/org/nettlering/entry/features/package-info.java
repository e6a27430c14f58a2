/** The guarantees of the entry as Cucumber features, run against one or two entries with a manual clock. */
@NullMarked
package org.nettlering.entry.features;

import org.jspecify.annotations.NullMarked;
