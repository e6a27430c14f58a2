package org.nettlering.runtime.settings;

import java.net.Inet4Address;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/** Reads and writes addresses of the form {@code IP:PORT}; names are not looked up. */
public final class Addresses {
    private static final int MAX_PORT = 65_535;

    private Addresses() {}

    /**
     * Parses an address.
     *
     * @param text the text, such as {@code 127.0.0.1:7000}, not null
     * @return the address, never null
     * @throws NettleringException with {@code INVALID_ARGUMENT} if the text is no address
     */
    public static InetSocketAddress parse(String text) {
        InetSocketAddress address = parseOrNull(text);
        if (address == null) {
            throw new NettleringException(ErrorCode.INVALID_ARGUMENT, "\"" + text + "\" is no address IP:PORT");
        }
        return address;
    }

    /**
     * Writes an address.
     *
     * @param address the address, not null
     * @return the text that {@link #parse(String)} reads, never null
     */
    public static String format(InetSocketAddress address) {
        String host = address.getHostString();
        return (host.contains(":") ? "[" + host + "]" : host) + ":" + address.getPort();
    }

    static @Nullable InetSocketAddress parseOrNull(String text) {
        String stripped = text.strip();
        int colon = stripped.lastIndexOf(':');
        if (colon < 1) {
            return null;
        }
        String host = stripped.substring(0, colon);
        try {
            int port = Integer.parseInt(stripped.substring(colon + 1));
            if (port < 0 || port > MAX_PORT) {
                return null;
            }
            InetAddress literal = InetAddress.ofLiteral(host);
            boolean abbreviated =
                    literal instanceof Inet4Address && !literal.getHostAddress().equals(host);
            return abbreviated ? null : new InetSocketAddress(literal, port);
        } catch (IllegalArgumentException exception) {
            return null;
        }
    }
}
