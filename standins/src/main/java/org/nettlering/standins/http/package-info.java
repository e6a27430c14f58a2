/** Small HTTP helpers for the stand-ins: addresses, and JSON messages over Vert.x. */
@NullMarked
package org.nettlering.standins.http;

import org.jspecify.annotations.NullMarked;
