/** A TCP relay that injects network faults between any two processes. */
@NullMarked
package org.nettlering.standins.relay;

import org.jspecify.annotations.NullMarked;
