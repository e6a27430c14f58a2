/**
 * Retries of requests: the outcome of an attempt, the decision to retry and the budget of retries and hedges.
 *
 * <p>Contains decisions only; the server of the entry that accepts the requests of callers sends the attempts.
 */
@NullMarked
package org.nettlering.domain.retry;

import org.jspecify.annotations.NullMarked;
