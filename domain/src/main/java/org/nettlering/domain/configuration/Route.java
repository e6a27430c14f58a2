package org.nettlering.domain.configuration;

/**
 * A rule that leads requests to a service.
 *
 * <p>The longest matching path prefix wins; a route with a host goes before one without. Immutable and thread-safe.
 *
 * @param host the host of the request, or empty for every host, not null
 * @param pathPrefix the prefix of the request's path, starting with a slash, not null
 */
public record Route(String host, String pathPrefix) {
    /**
     * Checks the values.
     *
     * @throws org.nettlering.domain.error.NettleringException {@code INVALID_ARGUMENT} if the prefix has no leading slash
     */
    public Route {
        Names.require(pathPrefix.startsWith("/"), "path prefix \"" + pathPrefix + "\" does not start with \"/\"");
    }

    /**
     * Tells whether a request matches.
     *
     * <p>A prefix matches whole path segments: {@code /previews} matches {@code /previews/1} but not {@code /previewsold}.
     *
     * @param requestHost the host of the request, without port, not null
     * @param requestPath the path of the request, not null
     * @return true if the route applies
     */
    public boolean matches(String requestHost, String requestPath) {
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
