package org.nettlering.domain.retry;

/**
 * The properties of a request that determine whether it may be retried.
 *
 * <p>Immutable and thread-safe.
 *
 * @param idempotent true when the request may run more than once
 * @param replayable true when the whole body is buffered and can be sent again
 */
public record RequestTraits(boolean idempotent, boolean replayable) {}
