/**
 * The control process: the replicated state machine, and the services that entries call.
 *
 * <p>{@code control.log} is the port to the replicated log; {@code control.configuration}, {@code control.task} and
 * {@code control.ledger} hold one service and one part of the replicated state each.
 */
@NullMarked
package org.nettlering.control;

import org.jspecify.annotations.NullMarked;
