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
 * One version of the queue configuration, which operators replace as a whole.
 *
 * <p>Use it to find the queue of a request. Every instance is valid:
 *
 * <ul>
 *   <li>pool names and queue names are unique;
 *   <li>each queue refers to a configured pool;
 *   <li>each queue has a timeout, allows at least one attempt and has a path prefix with a leading slash;
 *   <li>no two queues have the same authority and path prefix.
 * </ul>
 *
 * <p>Immutable and thread-safe.
 */
public final class QueueConfiguration {
    /** The empty configuration, in effect before the first one is accepted. */
    public static final QueueConfiguration NONE =
            new QueueConfiguration(0, List.of(), List.of(), RequestLimits.DEFAULT, "");

    /** A higher version replaces a lower one. */
    private final long version;

    private final List<QueueSettings> queues;
    private final List<PoolSettings> pools;
    private final RequestLimits limits;

    /** The operator's document, kept unchanged. */
    private final String document;

    /** The queues by authority in lower case. */
    private final Map<String, List<QueueSettings>> queuesByAuthority = new HashMap<>();

    /**
     * Creates and validates a configuration.
     *
     * @param version the version, positive
     * @param queues the queues, not null
     * @param pools the pools, not null
     * @param limits the limits on requests, not null
     * @param document the operator's document, not null
     * @return the configuration, never null
     * @throws NettleringException with {@code INVALID_CONFIGURATION} if it is not valid; the message names the reason
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
            require(poolNames.add(pool.name()), "pool \"" + pool.name() + "\" is defined twice");
        }
        Set<String> routes = new HashSet<>();
        Set<String> names = new HashSet<>();
        for (QueueSettings queue : queues) {
            String subject = "queue \"" + queue.name() + "\"";
            require(names.add(queue.name()), subject + " is defined twice");
            require(poolNames.contains(queue.pool()), subject + " refers to the unknown pool \"" + queue.pool() + "\"");
            require(queue.timeoutMillis() > 0, subject + " must have a positive timeout");
            require(queue.terms().attempts() > 0, subject + " must allow at least one attempt");
            require(queue.pathPrefix().startsWith("/"), subject + " must have a path prefix with a leading slash");
            String route = queue.authority().toLowerCase(Locale.ROOT) + " " + queue.pathPrefix();
            require(routes.add(route), subject + " has the same authority and path prefix as another queue: " + route);
        }
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new NettleringException(ErrorCode.INVALID_CONFIGURATION, message);
        }
    }

    /**
     * Returns the queue that a request is for: the matching one with the longest path prefix.
     *
     * @param authority the host name in the request, without a port, not null
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
     * Tells whether this is an accepted configuration.
     *
     * @return false only for {@link #NONE}
     */
    public boolean isPresent() {
        return version > 0;
    }

    /**
     * Returns the version.
     *
     * @return the version, zero for {@link #NONE}
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
     * Returns the limits on requests.
     *
     * @return the limits, never null
     */
    public RequestLimits limits() {
        return limits;
    }

    /**
     * Returns the operator's document.
     *
     * @return the unchanged document, empty for {@link #NONE}, never null
     */
    public String document() {
        return document;
    }
}
