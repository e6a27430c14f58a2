/**
 * The ledger of non-idempotent requests: the reserved idempotency keys, their attempts and the outcomes.
 *
 * <p>The ledger is part of the replicated state. {@code control.ledger} applies its commands; the entry reserves a key
 * in it before it dispatches a request.
 */
@NullMarked
package org.nettlering.domain.ledger;

import org.jspecify.annotations.NullMarked;
