/**
 * Interference of batch work with services: a model of the slowdown, learned for each pair of classes from late and
 * noisy measurements, and a controller that limits the slowdown by throttling and eviction.
 */
@NullMarked
package org.nettlering.domain.interference;

import org.jspecify.annotations.NullMarked;
