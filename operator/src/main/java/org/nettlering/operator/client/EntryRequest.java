package org.nettlering.operator.client;

/**
 * A request to the operators' port.
 *
 * <p>Immutable and thread-safe.
 *
 * @param method the HTTP method, not null
 * @param path the path with its query, not null
 * @param body the JSON body, empty if there is none, not null
 * @param repeatable true when running it twice does no harm
 */
public record EntryRequest(String method, String path, String body, boolean repeatable) {
    /**
     * Returns a request that reads.
     *
     * @param path the path with its query, not null
     * @return a repeatable request, never null
     */
    public static EntryRequest get(String path) {
        return new EntryRequest("GET", path, "", true);
    }

    /**
     * Returns a change that carries an operation id.
     *
     * @param path the path, not null
     * @param body the JSON body, not null
     * @return a repeatable request, never null
     */
    public static EntryRequest change(String path, String body) {
        return new EntryRequest("POST", path, body, true);
    }

    /**
     * Returns a change without an operation id.
     *
     * @param path the path, not null
     * @param body the JSON body, not null
     * @return a request that is sent once at most, never null
     */
    public static EntryRequest changeOnce(String path, String body) {
        return new EntryRequest("POST", path, body, false);
    }

    /**
     * Returns a removal.
     *
     * @param path the path with its query, not null
     * @param repeatable true when it carries an operation id
     * @return a request, never null
     */
    public static EntryRequest delete(String path, boolean repeatable) {
        return new EntryRequest("DELETE", path, "", repeatable);
    }
}
