import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One HTTP/1.1 request on a connection of its own. */
final class Http {
    private Http() {}

    /** A response; status 0 if there was none. */
    record Response(int status, String body) {}

    static Response call(String address, String method, String path, String host, String body, int timeoutMillis) {
        try (Socket socket = send(address, method, path, host, body, timeoutMillis)) {
            return read(socket);
        } catch (IOException | RuntimeException e) {
            return new Response(0, String.valueOf(e.getMessage()));
        }
    }

    /** Sends a request and returns the open connection. */
    static Socket send(String address, String method, String path, String host, String body, int timeoutMillis)
            throws IOException {
        int colon = address.lastIndexOf(':');
        Socket socket = new Socket();
        try {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMillis);
            socket.connect(
                    new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                    timeoutMillis);
            byte[] content = body.getBytes(StandardCharsets.UTF_8);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + host
                    + "\r\nContent-Type: application/json\r\nDeadline-Ms: 3000\r\nConnection: close\r\nContent-Length: "
                    + content.length + "\r\n\r\n";
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write(head.getBytes(StandardCharsets.UTF_8));
            all.write(content);
            socket.getOutputStream().write(all.toByteArray());
            socket.getOutputStream().flush();
            return socket;
        } catch (IOException | RuntimeException e) {
            socket.close();
            throw e;
        }
    }

    static Response read(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        byte[] buffer = new byte[8192];
        while (true) {
            String text = all.toString(StandardCharsets.UTF_8);
            int end = text.indexOf("\r\n\r\n");
            if (end >= 0) {
                int length = 0;
                for (String line : text.substring(0, end).split("\r\n")) {
                    if (line.toLowerCase().startsWith("content-length:")) {
                        length = Integer.parseInt(line.substring(15).strip());
                    }
                }
                if (all.size() >= end + 4 + length) {
                    int status = Integer.parseInt(text.substring(9, 12));
                    return new Response(status, text.substring(end + 4));
                }
            }
            int count = in.read(buffer);
            if (count < 0) {
                throw new IOException("the connection ended without a response");
            }
            all.write(buffer, 0, count);
        }
    }
}
