package org.nettlering.domain.upstream;

import java.util.regex.Pattern;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/**
 * The IP address and port of an upstream.
 *
 * <p>Services that announce the same address share the slots of one instance. Immutable and thread-safe.
 *
 * @param host the IPv4 or IPv6 address, without brackets, not null
 * @param port from 1 to 65535
 */
public record UpstreamAddress(String host, int port) implements Comparable<UpstreamAddress> {
    private static final int MAXIMUM_PORT = 65_535;
    private static final Pattern IP_ADDRESS =
            Pattern.compile("[0-9]{1,3}(\\.[0-9]{1,3}){3}|[0-9A-Fa-f:]*:[0-9A-Fa-f:.]*");

    /**
     * Validates the components.
     *
     * @throws NettleringException {@code INVALID_ARGUMENT} when the host is not an IP address or the port is out of
     *     range
     */
    public UpstreamAddress {
        if (!IP_ADDRESS.matcher(host).matches()) {
            throw new NettleringException(
                    ErrorCode.INVALID_ARGUMENT, "upstream address \"" + host + "\" is not an IP address");
        }
        if (port < 1 || port > MAXIMUM_PORT) {
            throw new NettleringException(ErrorCode.INVALID_ARGUMENT, "upstream port " + port + " is out of range");
        }
    }

    /**
     * Parses an address of the form {@code IP:PORT}, with an IPv6 address in brackets.
     *
     * @param text the text, not null
     * @return the address, never null
     * @throws NettleringException {@code INVALID_ARGUMENT} when the text does not have this form
     */
    public static UpstreamAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw malformed(text);
        }
        String host = text.substring(0, colon);
        if (host.startsWith("[") && host.endsWith("]")) {
            host = host.substring(1, host.length() - 1);
        }
        try {
            return new UpstreamAddress(host, Integer.parseInt(text.substring(colon + 1)));
        } catch (NumberFormatException exception) {
            throw malformed(text);
        }
    }

    private static NettleringException malformed(String text) {
        return new NettleringException(ErrorCode.INVALID_ARGUMENT, "upstream address \"" + text + "\" is not IP:PORT");
    }

    @Override
    public int compareTo(UpstreamAddress other) {
        int byHost = host.compareTo(other.host);
        return byHost != 0 ? byHost : Integer.compare(port, other.port);
    }

    @Override
    public String toString() {
        return (host.indexOf(':') >= 0 ? "[" + host + "]" : host) + ":" + port;
    }
}
