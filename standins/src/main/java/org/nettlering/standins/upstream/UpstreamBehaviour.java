package org.nettlering.standins.upstream;

/**
 * How an upstream stand-in treats the next requests.
 *
 * <p>Immutable and thread-safe.
 *
 * @param delayMillis the time to the answer in milliseconds
 * @param failPercent the share of requests that get a 500 answer, after they ran
 * @param cutPercent the share of requests whose connection is closed in the middle of the answer's body
 */
public record UpstreamBehaviour(long delayMillis, int failPercent, int cutPercent) {
    /**
     * Returns a copy with another delay.
     *
     * @param newDelayMillis the time to the answer in milliseconds
     * @return the copy, never null
     */
    public UpstreamBehaviour withDelayMillis(long newDelayMillis) {
        return new UpstreamBehaviour(newDelayMillis, failPercent, cutPercent);
    }
}
