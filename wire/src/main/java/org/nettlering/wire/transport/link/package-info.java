/** The state of a connection to a peer, without sockets: hand-over, pending calls, pings and reconnection. */
@NullMarked
package org.nettlering.wire.transport.link;

import org.jspecify.annotations.NullMarked;
