/** Limits on what the clients of an HTTP server can make a process hold: bytes, connections and time. */
@NullMarked
package org.nettlering.wire.transport.http;

import org.jspecify.annotations.NullMarked;
