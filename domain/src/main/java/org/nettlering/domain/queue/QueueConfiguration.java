package org.nettlering.domain.queue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/**
 * One version of the queues, as operators replace them: always as a whole.
 *
 * <p>Use it to find the queue of a request. A configuration that exists is valid: names are unique, each queue names a
 * pool, no two queues take the same requests and each has a timeout. Immutable and thread-safe.
 */
public final class QueueConfiguration {
    /** No configuration yet. */
    public static final QueueConfiguration NONE =
            new QueueConfiguration(0, List.of(), List.of(), RequestLimits.DEFAULT, "");

    /** The version; a higher one replaces a lower one. */
    private final long version;

    /** The queues. */
    private final List<QueueSettings> queues;

    /** The pools. */
    private final List<PoolSettings> pools;

    /** The bounds on requests. */
    private final RequestLimits limits;

    /** The document that the operator sent, returned as it came. */
    private final String document;

    /** The queues by the authority of their requests, in lower case. */
    private final Map<String, List<QueueSettings>> queuesByAuthority = new HashMap<>();

    /**
     * Checks and creates a configuration.
     *
     * @param version the version, positive
     * @param queues the queues, not null
     * @param pools the pools, not null
     * @param limits the bounds on requests, not null
     * @param document what the operator sent, not null
     * @return the configuration, never null
     * @throws NettleringException with {@code INVALID_CONFIGURATION} if it is not valid; the message names the fault
     */
    public static QueueConfiguration of(
            long version, List<QueueSettings> queues, List<PoolSettings> pools, RequestLimits limits, String document) {
        QueueConfiguration configuration = new QueueConfiguration(version, queues, pools, limits, document);
        configuration.validate();
        return configuration;
    }

    private QueueConfiguration(
            long version, List<QueueSettings> queues, List<PoolSettings> pools, RequestLimits limits, String document) {
        this.version = version;
        this.queues = List.copyOf(queues);
        this.pools = List.copyOf(pools);
        this.limits = limits;
        this.document = document;
        this.queues.forEach(queue -> queuesByAuthority
                .computeIfAbsent(queue.authority().toLowerCase(Locale.ROOT), key -> new ArrayList<>())
                .add(queue));
    }

    private void validate() {
        require(version > 0, "the version must be positive, not " + version);
        Set<String> poolNames = new HashSet<>();
        for (PoolSettings pool : pools) {
            require(poolNames.add(pool.name()), "pool \"" + pool.name() + "\" stands twice");
        }
        Set<String> routes = new HashSet<>();
        Set<String> names = new HashSet<>();
        for (QueueSettings queue : queues) {
            String subject = "queue \"" + queue.name() + "\"";
            require(names.add(queue.name()), subject + " stands twice");
            require(poolNames.contains(queue.pool()), subject + " names the unknown pool \"" + queue.pool() + "\"");
            require(queue.timeoutMillis() > 0, subject + " has no timeout");
            require(queue.terms().attempts() > 0, subject + " allows no attempt");
            require(queue.pathPrefix().startsWith("/"), subject + " has a path prefix without a leading slash");
            String route = queue.authority().toLowerCase(Locale.ROOT) + " " + queue.pathPrefix();
            require(routes.add(route), subject + " takes the same requests as another: " + route);
        }
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new NettleringException(ErrorCode.INVALID_CONFIGURATION, message);
        }
    }

    /**
     * Finds the queue that a request is for: of those that match, the one with the longest path prefix.
     *
     * @param authority the host that the request names, without a port, not null
     * @param path the path of the request, not null
     * @return the queue, or empty if none matches, never null
     */
    public Optional<QueueSettings> queueFor(String authority, String path) {
        QueueSettings bestMatch = null;
        for (QueueSettings queue : queuesByAuthority.getOrDefault(authority.toLowerCase(Locale.ROOT), List.of())) {
            boolean longerPrefix = bestMatch == null
                    || queue.pathPrefix().length() > bestMatch.pathPrefix().length();
            if (longerPrefix && queue.matches(authority, path)) {
                bestMatch = queue;
            }
        }
        return Optional.ofNullable(bestMatch);
    }

    /**
     * Tells whether any configuration was accepted yet.
     *
     * @return false before the first one
     */
    public boolean isPresent() {
        return version > 0;
    }

    /**
     * Returns the version.
     *
     * @return the version, zero before the first configuration
     */
    public long version() {
        return version;
    }

    /**
     * Returns the queues.
     *
     * @return an immutable list, never null
     */
    public List<QueueSettings> queues() {
        return queues;
    }

    /**
     * Returns the pools.
     *
     * @return an immutable list, never null
     */
    public List<PoolSettings> pools() {
        return pools;
    }

    /**
     * Returns the bounds on requests.
     *
     * @return the bounds, never null
     */
    public RequestLimits limits() {
        return limits;
    }

    /**
     * Returns the document that the operator sent.
     *
     * @return the document as it came, empty before the first configuration, never null
     */
    public String document() {
        return document;
    }
}
