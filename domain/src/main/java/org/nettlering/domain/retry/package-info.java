/**
 * What an attempt proves about a request, and whether the request is tried again.
 *
 * <p>Pure rules and the budget that bounds retries and hedges; the entry's callers' server carries them out.
 */
@NullMarked
package org.nettlering.domain.retry;

import org.jspecify.annotations.NullMarked;
