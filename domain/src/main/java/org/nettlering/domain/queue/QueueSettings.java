package org.nettlering.domain.queue;

/**
 * One queue of jobs.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name, unique in a configuration, not null
 * @param authority the host that requests for the queue name, not null
 * @param pathPrefix what the path of such a request begins with, not null
 * @param pool the pool of hosts that runs the tasks, not null
 * @param timeoutMillis how long one request may take, in milliseconds, positive
 * @param terms the terms on which jobs of the queue run, not null
 */
public record QueueSettings(
        String name, String authority, String pathPrefix, String pool, long timeoutMillis, QueueTerms terms) {
    /**
     * Tells whether requests for a path reach this queue.
     *
     * @param requestAuthority the host that the request names, not null
     * @param path the path of the request, not null
     * @return true if the authority is the same and the path begins with the prefix
     */
    public boolean matches(String requestAuthority, String path) {
        return authority.equalsIgnoreCase(requestAuthority) && path.startsWith(pathPrefix);
    }
}
