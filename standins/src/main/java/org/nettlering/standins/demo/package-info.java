/** The demonstration: the whole system as processes on loopback, with failures, and a verdict. */
@NullMarked
package org.nettlering.standins.demo;

import org.jspecify.annotations.NullMarked;
