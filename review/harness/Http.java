import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A plain HTTP/1.1 client: one connection for each call, or one that is kept. */
final class Http {
    /** A status and a body; status 0 if no whole response came. */
    record Response(int status, String body) {}

    private Http() {}

    static Response call(String address, String method, String path, String host, String body, int timeoutMillis) {
        long endNanos = System.nanoTime() + timeoutMillis * 1_000_000L;
        try (Socket socket = connect(address, timeoutMillis)) {
            socket.getOutputStream().write(message(method, path, host, body, true));
            socket.getOutputStream().flush();
            return read(socket, endNanos);
        } catch (IOException | RuntimeException failure) {
            return new Response(0, String.valueOf(failure.getMessage()));
        }
    }

    private static Socket connect(String address, int timeoutMillis) throws IOException {
        int colon = address.lastIndexOf(':');
        Socket socket = new Socket();
        socket.connect(
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                timeoutMillis);
        socket.setTcpNoDelay(true);
        return socket;
    }

    private static byte[] message(String method, String path, String host, String body, boolean last)
            throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String head = method + " " + path + " HTTP/1.1\r\nHost: " + host
                + "\r\nContent-Type: application/json\r\nDeadline-Ms: 3000\r\n"
                + (last ? "Connection: close\r\n" : "") + "Content-Length: " + bytes.length + "\r\n\r\n";
        ByteArrayOutputStream message = new ByteArrayOutputStream();
        message.write(head.getBytes(StandardCharsets.ISO_8859_1));
        message.write(bytes);
        return message.toByteArray();
    }

    /** A connection that is kept until a call on it fails. */
    static final class Kept {
        private final String address;
        private Socket socket;

        Kept(String address) {
            this.address = address;
        }

        Response call(String method, String path, String host, String body, int timeoutMillis) {
            long endNanos = System.nanoTime() + timeoutMillis * 1_000_000L;
            Response response;
            try {
                if (socket == null) {
                    socket = connect(address, timeoutMillis);
                }
                socket.getOutputStream().write(message(method, path, host, body, false));
                socket.getOutputStream().flush();
                response = read(socket, endNanos);
            } catch (IOException | RuntimeException failure) {
                response = new Response(0, String.valueOf(failure.getMessage()));
            }
            if (response.status() == 0) {
                close();
            }
            return response;
        }

        private void close() {
            try {
                if (socket != null) {
                    socket.close();
                }
            } catch (IOException ignored) {
                // It is closed already.
            }
            socket = null;
        }
    }

    private static Response read(Socket socket, long endNanos) throws IOException {
        InputStream in = socket.getInputStream();
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        byte[] buffer = new byte[65_536];
        while (true) {
            long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
            if (leftMillis <= 0) {
                return new Response(0, "no response in time");
            }
            socket.setSoTimeout((int) leftMillis);
            int count = in.read(buffer);
            if (count > 0) {
                received.write(buffer, 0, count);
            }
            String text = received.toString(StandardCharsets.ISO_8859_1);
            int headEnd = text.indexOf("\r\n\r\n");
            if (headEnd >= 0) {
                int length = contentLength(text.substring(0, headEnd));
                if (received.size() - headEnd - 4 >= length) {
                    byte[] all = received.toByteArray();
                    int status = Integer.parseInt(text.split(" ", 3)[1]);
                    return new Response(status, new String(all, headEnd + 4, length, StandardCharsets.UTF_8));
                }
            }
            if (count < 0) {
                return new Response(0, "the connection ended");
            }
        }
    }

    private static int contentLength(String head) {
        for (String line : head.split("\r\n")) {
            if (line.toLowerCase().startsWith("content-length:")) {
                return Integer.parseInt(line.substring(15).trim());
            }
        }
        return 0;
    }
}
