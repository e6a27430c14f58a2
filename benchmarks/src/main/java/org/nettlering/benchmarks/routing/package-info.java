/**
 * The routing benchmark: a seeded model of entries and slots that runs the real policies of {@code domain}.
 *
 * <p>The tests of this module use the same model for their differential checks.
 */
@NullMarked
package org.nettlering.benchmarks.routing;

import org.jspecify.annotations.NullMarked;
