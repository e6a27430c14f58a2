import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.ThreadLocalRandom;

/** A link: passes the bytes of each connection on, and loses those of one direction while that direction is cut. */
final class Proxy {
    final String address;
    private volatile InetSocketAddress target;
    private final ServerSocket server;
    /** Whether what the callers of this proxy send is lost. */
    private volatile boolean cutTowardsTarget;
    /** Whether what the callers of this proxy would receive is lost. */
    private volatile boolean cutTowardsCaller;
    /** The share of the starts that arrive 2 to 12 s late and get no answer. */
    private volatile double lateShare;

    Proxy(String ip, String targetAddress) throws IOException {
        target(targetAddress);
        server = new ServerSocket(0, 256, InetAddress.getByName(ip));
        address = ip + ":" + server.getLocalPort();
        Thread.ofVirtual().start(this::accept);
    }

    void target(String targetAddress) {
        int colon = targetAddress.lastIndexOf(':');
        target = new InetSocketAddress(
                targetAddress.substring(0, colon), Integer.parseInt(targetAddress.substring(colon + 1)));
    }

    void lateShare(double share) {
        lateShare = share;
    }

    /** Delivers an order seconds later to whatever is there then; nobody waits for its answer any more. */
    private void deliverLate(byte[] order) {
        Site.sleep(2_000 + ThreadLocalRandom.current().nextInt(10_000));
        try (Socket late = new Socket()) {
            late.connect(target, 1_000);
            late.getOutputStream().write(order);
            late.getOutputStream().flush();
            late.setSoTimeout(1_000);
            late.getInputStream().read();
        } catch (IOException gone) {
            // Nobody is there: the order is lost.
        }
    }

    void cutTowardsTarget(boolean cut) {
        cutTowardsTarget = cut;
    }

    void cutTowardsCaller(boolean cut) {
        cutTowardsCaller = cut;
    }

    private void accept() {
        try {
            while (true) {
                Socket caller = server.accept();
                Thread.ofVirtual().start(() -> connect(caller));
            }
        } catch (IOException closed) {
            // The test has ended.
        }
    }

    private void connect(Socket caller) {
        if (cutTowardsTarget || cutTowardsCaller) {
            return; // A connection needs both directions; one that is opened during the cut hangs.
        }
        try {
            Socket called = new Socket();
            called.connect(target, 1_000);
            caller.setTcpNoDelay(true);
            called.setTcpNoDelay(true);
            Thread.ofVirtual().start(() -> pass(caller, called, true));
            Thread.ofVirtual().start(() -> pass(called, caller, false));
        } catch (IOException refused) {
            close(caller);
        }
    }

    private void pass(Socket from, Socket to, boolean towardsTarget) {
        byte[] buffer = new byte[65_536];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            int count = in.read(buffer);
            boolean lost = false;
            while (count >= 0) {
                // After a loss nothing of the connection arrives any more: what follows is out of order.
                lost |= towardsTarget ? cutTowardsTarget : cutTowardsCaller;
                if (towardsTarget
                        && !lost
                        && new String(buffer, 0, Math.min(count, 16), StandardCharsets.ISO_8859_1).startsWith("POST /run-start")
                        && ThreadLocalRandom.current().nextDouble() < lateShare) {
                    lost = true;
                    byte[] order = Arrays.copyOf(buffer, count);
                    Thread.ofVirtual().start(() -> deliverLate(order));
                }
                if (!lost) {
                    out.write(buffer, 0, count);
                    out.flush();
                }
                count = in.read(buffer);
            }
            if (!lost && !(towardsTarget ? cutTowardsTarget : cutTowardsCaller)) {
                close(from);
                close(to);
            }
        } catch (IOException ended) {
            close(from);
            close(to);
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException ignored) {
            // It is closed already.
        }
    }
}
