/**
 * Deterministic simulation of a whole group on simulated disks, network and clock, with fault injection and invariant checks
 * after each step.
 *
 * <p>Used by the tests and by {@code ./build seeds}. A run uses one thread and is reproducible from its seed.
 */
@NullMarked
package org.nettlering.consensus.simulation;

import org.jspecify.annotations.NullMarked;
