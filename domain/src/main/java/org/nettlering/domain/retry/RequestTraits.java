package org.nettlering.domain.retry;

/**
 * What decides whether a request may be tried again.
 *
 * <p>Immutable and thread-safe.
 *
 * @param idempotent true when running it twice does no harm
 * @param replayable true when its whole body is at hand to be sent again
 */
public record RequestTraits(boolean idempotent, boolean replayable) {}
