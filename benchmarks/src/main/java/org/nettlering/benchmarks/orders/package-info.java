/** Measures the way of orders to hosts: what an order costs, and what comes of it in times of trouble. */
@NullMarked
package org.nettlering.benchmarks.orders;

import org.jspecify.annotations.NullMarked;
