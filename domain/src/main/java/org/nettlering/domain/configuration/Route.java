package org.nettlering.domain.configuration;

/**
 * A rule that routes requests to a service.
 *
 * <p>The route with the longest matching path prefix wins, but any matching route with a host takes precedence over routes
 * without one. Immutable and thread-safe.
 *
 * @param host the host name to match, ignoring case, or empty to match all hosts, not null
 * @param pathPrefix the path prefix to match, starting with a slash, not null
 */
public record Route(String host, String pathPrefix) {
    /**
     * Validates the values.
     *
     * @throws org.nettlering.domain.error.NettleringException {@code INVALID_ARGUMENT} if the prefix has no leading slash
     */
    public Route {
        ArgumentChecks.require(
                pathPrefix.startsWith("/"), "path prefix \"" + pathPrefix + "\" does not start with \"/\"");
    }

    /**
     * Returns whether the route matches a request.
     *
     * <p>A prefix matches whole path segments: {@code /previews} matches {@code /previews/1} but not {@code /previewsold}.
     *
     * @param requestHost the host of the request, without port, not null
     * @param requestPath the path of the request, not null
     * @return true if both the host and the path match
     */
    public boolean isMatch(String requestHost, String requestPath) {
        if (!host.isEmpty() && !host.equalsIgnoreCase(requestHost)) {
            return false;
        }
        if (!requestPath.startsWith(pathPrefix)) {
            return false;
        }
        return pathPrefix.endsWith("/")
                || requestPath.length() == pathPrefix.length()
                || requestPath.charAt(pathPrefix.length()) == '/';
    }
}
