/** The replicated ledger of non-idempotent requests in the control process, and the service that entries ask for it. */
@NullMarked
package org.nettlering.control.ledger;

import org.jspecify.annotations.NullMarked;
