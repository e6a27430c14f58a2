/**
 * How much batch work slows down services: learned for each pair of classes from measurements that are late and noisy, and
 * acted upon by throttling and eviction.
 */
@NullMarked
package org.nettlering.domain.interference;

import org.jspecify.annotations.NullMarked;
