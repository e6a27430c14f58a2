/**
 * Messages and connections between the processes of the system.
 *
 * <p>{@code wire.proto} holds the generated messages, {@code wire.transport} the Netty connections, {@code wire.codec} the
 * conversions between messages and domain values.
 */
@NullMarked
package org.nettlering.wire;

import org.jspecify.annotations.NullMarked;
