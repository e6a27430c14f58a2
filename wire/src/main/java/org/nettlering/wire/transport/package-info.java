/**
 * Connections between processes of the system: framing, handshake, correlation of responses, pings and bounds.
 *
 * <p>A process owns one {@link org.nettlering.wire.transport.PeerNetwork}, which makes the servers and peers. The state of
 * a connection is in {@code transport.link}, without sockets; {@code transport.netty} moves the bytes.
 */
@NullMarked
package org.nettlering.wire.transport;

import org.jspecify.annotations.NullMarked;
