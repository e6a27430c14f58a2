package org.nettlering.standins.upstream;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServerRequest;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.kohsuke.args4j.Option;
import org.nettlering.domain.time.SystemTime;
import org.nettlering.runtime.log.EventLogger;
import org.nettlering.standins.StandinCommand;
import org.nettlering.standins.StandinEvent;
import org.nettlering.standins.http.Addresses;
import org.nettlering.standins.journal.Journal;

/**
 * The sub-command {@code upstream}.
 *
 * <p>On SIGTERM it announces that it leaves and ends its process when its requests are done. The control port takes
 * {@code POST /behaviour?delay_millis=N&fail_percent=N&cut_percent=N} and {@code POST /leave}, and answers
 * {@code GET /counts} with {@code ran N in_flight N peak N}.
 */
public final class UpstreamCommand implements StandinCommand {
    private static final Duration LEAVING_NOTICE = Duration.ofSeconds(1);
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);
    private static final EventLogger LOGGER = EventLogger.of(UpstreamCommand.class);

    /** Where requests arrive. */
    @Option(name = "--listen", required = true, metaVar = "IP:PORT", usage = "where requests arrive")
    private String listen = "";

    /** Where the behaviour is set. */
    @Option(name = "--control", required = true, metaVar = "IP:PORT", usage = "where the behaviour is set")
    private String control = "";

    /** The platform ports of the entries. */
    @Option(name = "--entries", required = true, metaVar = "IP:PORT,...", usage = "the platform ports of the entries")
    private String entries = "";

    /** The service. */
    @Option(name = "--service", required = true, usage = "the service")
    private String service = "";

    /** The instance. */
    @Option(name = "--instance", required = true, usage = "the name of the instance")
    private String instance = "";

    /** The failure domain. */
    @Option(name = "--failure-domain", usage = "the failure domain")
    private String failureDomain = "domain-1";

    /** The journal. */
    @Option(name = "--journal", required = true, metaVar = "FILE", usage = "where requests that ran are recorded")
    private String journal = "";

    /** The time to an answer. */
    @Option(name = "--delay-millis", usage = "the time to an answer")
    private long delayMillis;

    /** The slots. */
    @Option(name = "--slots", usage = "how many requests run at once")
    private int slots = 8;

    /** The connections. */
    @Option(name = "--connections", usage = "how many connections are accepted")
    private int connections = 60;

    @Override
    public int run() throws InterruptedException {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        SystemTime time = SystemTime.create("upstream-timer");
        UpstreamStandin standin = UpstreamStandin.create(
                vertx, time, Journal.open(Path.of(journal)), new UpstreamBehaviour(delayMillis, 0, 0));
        UpstreamIdentity identity = new UpstreamIdentity(
                service,
                instance,
                listen,
                slots,
                connections,
                failureDomain,
                time.instant().toEpochMilli());
        Announcer announcer = Announcer.create(time, vertx, Addresses.parseList(entries), identity);
        standin.listen(Addresses.parse(listen)).await();
        vertx.createHttpServer()
                .requestHandler(request -> administer(request, standin, announcer))
                .listen(Addresses.parse(control))
                .await();
        LOGGER.log(StandinEvent.LISTENING, "upstream", instance, listen);
        announcer.start();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> leave(standin, announcer), "leave"));
        new CountDownLatch(1).await();
        return 0;
    }

    private static void administer(HttpServerRequest request, UpstreamStandin standin, Announcer announcer) {
        switch (request.path()) {
            case "/behaviour" -> {
                standin.setBehaviour(new UpstreamBehaviour(
                        number(request, "delay_millis"), (int) number(request, "fail_percent"), (int)
                                number(request, "cut_percent")));
                request.response().end();
            }
            case "/leave" ->
                announcer.leave().onComplete(announced -> request.response().end());
            case "/counts" ->
                request.response()
                        .end("ran " + standin.ran() + " in_flight " + standin.inFlight() + " peak "
                                + standin.peakInFlight());
            default -> request.response().setStatusCode(404).end();
        }
    }

    private static long number(HttpServerRequest request, String name) {
        String value = request.getParam(name);
        return value == null ? 0L : Long.parseLong(value);
    }

    private static void leave(UpstreamStandin standin, Announcer announcer) {
        try {
            announcer.leave().await(STOP_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
            Thread.sleep(LEAVING_NOTICE);
            long deadline = System.nanoTime() + STOP_TIMEOUT.toNanos();
            while (standin.inFlight() > 0 && System.nanoTime() < deadline) {
                Thread.sleep(POLL_INTERVAL);
            }
        } catch (InterruptedException | TimeoutException | RuntimeException exception) {
            LOGGER.log(
                    StandinEvent.ANNOUNCEMENT_FAILED,
                    "any",
                    "leaving upstream",
                    String.valueOf(exception.getMessage()));
        }
    }
}
