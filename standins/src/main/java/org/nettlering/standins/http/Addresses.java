package org.nettlering.standins.http;

import io.vertx.core.net.SocketAddress;
import java.util.Arrays;
import java.util.List;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/** Reads {@code IP:PORT} texts as socket addresses. */
public final class Addresses {
    private Addresses() {}

    /**
     * Reads one address.
     *
     * @param text such as {@code 127.0.0.1:8080}, not null
     * @return the address, never null
     * @throws NettleringException with {@code INVALID_ARGUMENT} if the text is not {@code IP:PORT}
     */
    public static SocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw new NettleringException(ErrorCode.INVALID_ARGUMENT, "address \"" + text + "\" is not IP:PORT");
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            return SocketAddress.inetSocketAddress(port, text.substring(0, colon));
        } catch (IllegalArgumentException exception) {
            throw new NettleringException(
                    ErrorCode.INVALID_ARGUMENT, "address \"" + text + "\" is not IP:PORT", exception);
        }
    }

    /**
     * Reads a list of addresses.
     *
     * @param text the addresses, separated by commas, not null
     * @return the addresses in order, never null
     * @throws NettleringException with {@code INVALID_ARGUMENT} if one of them is not {@code IP:PORT}
     */
    public static List<SocketAddress> parseList(String text) {
        return Arrays.stream(text.split(",", -1)).map(Addresses::parse).toList();
    }
}
