/** Metrics in the Prometheus text format, and those of the process itself. */
@NullMarked
package org.nettlering.runtime.metrics;

import org.jspecify.annotations.NullMarked;
