/** Metrics of the entry process. */
@NullMarked
package org.nettlering.entry.metrics;

import org.jspecify.annotations.NullMarked;
