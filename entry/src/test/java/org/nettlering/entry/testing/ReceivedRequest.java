package org.nettlering.entry.testing;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * A request that a scripted upstream received.
 *
 * @param line the request line, not null
 * @param headers the headers by lower-case name, not null
 * @param body the body as text, not null
 * @param socket the connection that the request was received on, not null
 * @param requestsOnConnection the number of requests received on the connection, including this one
 */
public record ReceivedRequest(
        String line, Map<String, String> headers, String body, Socket socket, int requestsOnConnection) {
    /** Sends a complete response. */
    public void respond(int status, String text) {
        write("HTTP/1.1 " + status + " Status\r\nContent-Length: " + text.length() + "\r\n\r\n" + text);
    }

    /** Sends a 503 response stating that the request was not run. */
    public void rejectAsNotRun() {
        write("HTTP/1.1 503 Busy\r\nNettlering-Outcome: not-run\r\nContent-Length: 0\r\n\r\n");
    }

    /** Writes raw text to the connection. */
    public void write(String text) {
        try {
            OutputStream out = socket.getOutputStream();
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    public void close() {
        try {
            socket.close();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
