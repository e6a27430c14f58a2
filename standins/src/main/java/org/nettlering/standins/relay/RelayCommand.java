package org.nettlering.standins.relay;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.concurrent.CountDownLatch;
import org.kohsuke.args4j.Option;
import org.nettlering.domain.time.SystemTime;
import org.nettlering.runtime.log.EventLogger;
import org.nettlering.standins.StandinCommand;
import org.nettlering.standins.StandinEvent;
import org.nettlering.standins.http.Addresses;

/**
 * The sub-command {@code relay}.
 *
 * <p>The control port takes {@code POST /fault?name=none|cut|delay-MILLIS|freeze|silent|black-hole}.
 */
public final class RelayCommand implements StandinCommand {
    private static final EventLogger LOGGER = EventLogger.of(RelayCommand.class);

    /** Where connections arrive. */
    @Option(name = "--listen", required = true, metaVar = "IP:PORT", usage = "where connections arrive")
    private String listen = "";

    /** Where they lead. */
    @Option(name = "--target", required = true, metaVar = "IP:PORT", usage = "where they lead")
    private String target = "";

    /** Where the fault is set. */
    @Option(name = "--control", required = true, metaVar = "IP:PORT", usage = "where the fault is set")
    private String control = "";

    @Override
    public int run() throws InterruptedException {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        SystemTime time = SystemTime.create("relay-timer");
        CuttingRelay relay = CuttingRelay.create(vertx, time, Addresses.parse(target));
        relay.listen(Addresses.parse(listen)).await();
        vertx.createHttpServer()
                .requestHandler(request -> {
                    relay.inject(RelayFault.parse(request.getParam("name", "none")));
                    request.response().end();
                })
                .listen(Addresses.parse(control))
                .await();
        LOGGER.log(StandinEvent.LISTENING, "relay", target, listen);
        new CountDownLatch(1).await();
        return 0;
    }
}
