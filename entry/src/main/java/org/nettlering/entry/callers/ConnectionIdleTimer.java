package org.nettlering.entry.callers;

import io.vertx.core.Context;
import io.vertx.core.http.HttpConnection;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.entry.EntryEvent;
import org.nettlering.runtime.log.EventLogger;

/**
 * Closes a caller's connection on which no complete request head arrives within the head timeout.
 *
 * <p>Partial heads do not restart the timer, so a caller cannot keep a connection open by sending a head byte by byte.
 * Confined to the Vert.x context of the connection.
 */
final class ConnectionIdleTimer {
    private static final EventLogger LOGGER = EventLogger.of(ConnectionIdleTimer.class);

    private final HttpConnection connection;
    private final CallerServices services;
    private final Context context;
    private int activeRequests;

    /** Fires at the head timeout; null if stopped. */
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
