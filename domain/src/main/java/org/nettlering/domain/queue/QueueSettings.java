package org.nettlering.domain.queue;

/**
 * The settings of one job queue.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name, unique in a configuration, not null
 * @param authority the host name, without a port, in requests for the queue, not null
 * @param pathPrefix the prefix of the path of such requests, not null
 * @param pool the name of the pool whose hosts run the tasks, not null
 * @param timeoutMillis the time limit of one request, in milliseconds, positive
 * @param terms the scheduling terms of its jobs, not null
 */
public record QueueSettings(
        String name, String authority, String pathPrefix, String pool, long timeoutMillis, QueueTerms terms) {
    /**
     * Tells whether a request is for this queue.
     *
     * @param requestAuthority the host name in the request, without a port, not null
     * @param path the path of the request, not null
     * @return true if the authority is equal, ignoring case, and the path starts with the prefix
     */
    public boolean matches(String requestAuthority, String path) {
        return authority.equalsIgnoreCase(requestAuthority) && path.startsWith(pathPrefix);
    }
}
