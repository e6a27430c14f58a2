/**
 * Seeded runs of a whole group over fakes of disk, network and clock, with faults and with checks after each step.
 *
 * <p>Used by the tests and by {@code ./build seeds}. One seed gives one run, on one thread.
 */
@NullMarked
package org.nettlering.consensus.simulation;

import org.jspecify.annotations.NullMarked;
