package org.nettlering.entry.testing;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * A request that a scripted upstream received, on its connection.
 *
 * @param line the request line, not null
 * @param headers the headers with lower-case names, not null
 * @param body the body as text, not null
 * @param socket the connection, not null
 * @param requestsOnConnection how many requests the connection has carried, this one included
 */
public record ReceivedRequest(
        String line, Map<String, String> headers, String body, Socket socket, int requestsOnConnection) {
    /** Answers with a whole body. */
    public void respond(int status, String text) {
        write("HTTP/1.1 " + status + " Status\r\nContent-Length: " + text.length() + "\r\n\r\n" + text);
    }

    /** Refuses as an upstream that says that it did not run the request. */
    public void rejectAsNotRun() {
        write("HTTP/1.1 503 Busy\r\nNettlering-Outcome: not-run\r\nContent-Length: 0\r\n\r\n");
    }

    /** Writes raw text on the connection. */
    public void write(String text) {
        try {
            OutputStream out = socket.getOutputStream();
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /** Closes the connection. */
    public void close() {
        try {
            socket.close();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
