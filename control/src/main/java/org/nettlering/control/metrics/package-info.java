/** The metrics of a control process and the port that serves them. */
@NullMarked
package org.nettlering.control.metrics;

import org.jspecify.annotations.NullMarked;
