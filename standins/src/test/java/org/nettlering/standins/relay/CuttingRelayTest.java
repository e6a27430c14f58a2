package org.nettlering.standins.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.time.SystemTime;

class CuttingRelayTest {
    private static final long LIMIT_SECONDS = 10;

    private final Vertx vertx = Vertx.vertx();
    private final SystemTime time = SystemTime.create("relay-test");
    private final BlockingQueue<String> received = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> closed = new LinkedBlockingQueue<>();
    private CuttingRelay relay = CuttingRelay.create(vertx, time, SocketAddress.inetSocketAddress(0, "127.0.0.1"));
    private int relayPort;

    @BeforeEach
    void startEchoBehindARelay() {
        int echoPort = vertx.createNetServer()
                .connectHandler(socket -> socket.handler(socket::write))
                .listen(0, "127.0.0.1")
                .await()
                .actualPort();
        relay = CuttingRelay.create(vertx, time, SocketAddress.inetSocketAddress(echoPort, "127.0.0.1"));
        relayPort =
                relay.listen(SocketAddress.inetSocketAddress(0, "127.0.0.1")).await();
    }

    @AfterEach
    void stop() {
        vertx.close().await();
        time.close();
    }

    @Test
    void bytesPassInBothDirections() throws InterruptedException {
        connect().write("one");

        assertThat(received.poll(LIMIT_SECONDS, TimeUnit.SECONDS)).isEqualTo("one");
    }

    @Test
    void aCutClosesOpenConnections() throws InterruptedException {
        connect().write("one");
        received.poll(LIMIT_SECONDS, TimeUnit.SECONDS);
        relay.inject(new RelayFault.Cut());

        assertThat(closed.poll(LIMIT_SECONDS, TimeUnit.SECONDS)).isEqualTo("closed");
    }

    @Test
    void aSilentConnectionStaysSilentWhileANewOneWorks() throws InterruptedException {
        NetSocket first = connect();
        first.write("one");
        received.poll(LIMIT_SECONDS, TimeUnit.SECONDS);
        relay.inject(new RelayFault.Silent());
        first.write("swallowed");
        connect().write("two");

        assertThat(received.poll(LIMIT_SECONDS, TimeUnit.SECONDS)).isEqualTo("two");
        assertThat(received).isEmpty();
        assertThat(closed).isEmpty();
    }

    @Test
    void delayedBytesArriveInOrder() throws InterruptedException {
        relay.inject(new RelayFault.Delay(20));
        NetSocket socket = connect();
        socket.write("one");
        assertThat(received.poll(LIMIT_SECONDS, TimeUnit.SECONDS)).isEqualTo("one");
        socket.write("two");
        assertThat(received.poll(LIMIT_SECONDS, TimeUnit.SECONDS)).isEqualTo("two");
    }

    @Test
    void frozenBytesArriveWhenTheFaultEnds() throws InterruptedException {
        NetSocket socket = connect();
        socket.write("one");
        received.poll(LIMIT_SECONDS, TimeUnit.SECONDS);
        relay.inject(new RelayFault.Freeze());
        socket.write("two");
        assertThat(received).isEmpty();
        relay.inject(new RelayFault.None());

        assertThat(received.poll(LIMIT_SECONDS, TimeUnit.SECONDS)).isEqualTo("two");
    }

    private NetSocket connect() {
        NetSocket socket =
                vertx.createNetClient().connect(relayPort, "127.0.0.1").await();
        socket.handler((Buffer bytes) -> received.add(bytes.toString()));
        socket.closeHandler(nothing -> closed.add("closed"));
        return socket;
    }
}
