/**
 * Connects the replicated log to the control process: commands, connections, log events and operators' requests.
 *
 * <p>Adapts {@code org.nettlering.consensus} to the ports in {@code control.log} and {@code wire.transport}.
 */
@NullMarked
package org.nettlering.control.consensus;

import org.jspecify.annotations.NullMarked;
