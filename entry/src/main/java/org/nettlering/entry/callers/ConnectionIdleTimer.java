package org.nettlering.entry.callers;

import io.vertx.core.Context;
import io.vertx.core.http.HttpConnection;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.entry.EntryEvent;
import org.nettlering.runtime.log.EventLogger;

/**
 * Closes a caller's connection that carries no request for too long, also one whose request head comes byte by byte.
 *
 * <p>Used on the connection's own context only.
 */
final class ConnectionIdleTimer {
    private static final EventLogger LOGGER = EventLogger.of(ConnectionIdleTimer.class);

    /** The connection. */
    private final HttpConnection connection;

    /** The limits, the counters and the clock. */
    private final CallerServices services;

    /** The context of the connection. */
    private final Context context;

    /** How many requests are being handled. */
    private int activeRequests;

    /** Fires when no request has come in time. */
    private TimeSource.@Nullable Timer timer;

    ConnectionIdleTimer(HttpConnection connection, CallerServices services, Context context) {
        this.connection = connection;
        this.services = services;
        this.context = context;
    }

    void start() {
        restartTimer();
    }

    void requestStarted() {
        activeRequests++;
        stop();
    }

    void requestEnded() {
        activeRequests--;
        if (activeRequests == 0) {
            restartTimer();
        }
    }

    void stop() {
        TimeSource.Timer currentTimer = timer;
        if (currentTimer != null) {
            currentTimer.cancel();
            timer = null;
        }
    }

    private void restartTimer() {
        stop();
        timer = services.time()
                .schedule(services.limits().headTimeout(), () -> context.runOnContext(nothing -> closeIdle()));
    }

    private void closeIdle() {
        if (activeRequests > 0 || timer == null) {
            return;
        }
        services.metrics().invalidInput("slow_head");
        LOGGER.log(EntryEvent.SLOW_CONNECTION_CLOSED, connection.remoteAddress());
        connection.close();
    }
}
