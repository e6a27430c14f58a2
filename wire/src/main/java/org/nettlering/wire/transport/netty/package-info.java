/** Moves frames over TCP with Netty; used through {@code wire.transport} alone. */
@NullMarked
package org.nettlering.wire.transport.netty;

import org.jspecify.annotations.NullMarked;
