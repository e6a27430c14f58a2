/** Connections between processes: framing, handshake, correlation of responses, pings and bounds. */
@NullMarked
package org.nettlering.wire.transport;

import org.jspecify.annotations.NullMarked;
