/** Reserves idempotency keys at the control members before a request is dispatched. */
@NullMarked
package org.nettlering.entry.ledger;

import org.jspecify.annotations.NullMarked;
