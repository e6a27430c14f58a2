/**
 * A small seeded model of workers, tasks and messages that drives the pure placement logic.
 *
 * <p>It stands for what the scheduler cannot see: true sizes, true interference, late and noisy measurements, lost messages.
 * The benchmark measures with it, and the tests check the invariants with it after every step.
 */
@NullMarked
package org.nettlering.benchmarks.placement.model;

import org.jspecify.annotations.NullMarked;
