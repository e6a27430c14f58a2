/**
 * The ledger of non-idempotent requests: which keys were taken, by whom, and with which outcome.
 *
 * <p>Part of the replicated state; {@code control.ledger} applies its commands, the entry asks it before each dispatch.
 */
@NullMarked
package org.nettlering.domain.ledger;

import org.jspecify.annotations.NullMarked;
