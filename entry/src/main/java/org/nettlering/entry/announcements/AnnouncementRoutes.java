package org.nettlering.entry.announcements;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.util.JsonFormat;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.Locale;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.upstream.AnnouncementResult;
import org.nettlering.domain.upstream.UpstreamDirectory;
import org.nettlering.entry.EntryEvent;
import org.nettlering.entry.callers.HeaderNames;
import org.nettlering.entry.metrics.EntryMetrics;
import org.nettlering.runtime.log.EventLogger;
import org.nettlering.wire.codec.AnnouncementCodec;
import org.nettlering.wire.proto.RequestProto.Announcement;

/** Handles announcements of upstreams, {@code POST /v1/announcements}. Thread-safe. */
public final class AnnouncementRoutes {
    /** The path that announcements are posted to. */
    public static final String PATH = "/v1/announcements";

    private static final long MAXIMUM_BODY_BYTES = 16 * 1024;
    private static final int TOO_LARGE = 413;
    private static final EventLogger LOGGER = EventLogger.of(AnnouncementRoutes.class);

    private final UpstreamDirectory directory;
    private final EntryMetrics metrics;

    private AnnouncementRoutes(UpstreamDirectory directory, EntryMetrics metrics) {
        this.directory = directory;
        this.metrics = metrics;
    }

    /**
     * Adds the route.
     *
     * @param router the router, not null
     * @param directory receives the announcements, not null
     * @param metrics counts invalid announcements, not null
     */
    public static void register(Router router, UpstreamDirectory directory, EntryMetrics metrics) {
        AnnouncementRoutes routes = new AnnouncementRoutes(directory, metrics);
        router.post(PATH)
                .handler(BodyHandler.create(false).setBodyLimit(MAXIMUM_BODY_BYTES))
                .handler(routes::handle)
                .failureHandler(routes::fail);
    }

    private void handle(RoutingContext routing) {
        try {
            Announcement.Builder message = Announcement.newBuilder();
            String text = routing.body().asString();
            JsonFormat.parser().merge(text == null ? "" : text, message);
            respond(routing, directory.acceptDirect(AnnouncementCodec.toAnnouncement(message.build())));
        } catch (InvalidProtocolBufferException exception) {
            reject(routing, ErrorCode.INVALID_ARGUMENT, "the announcement is malformed: " + exception.getMessage());
        } catch (NettleringException exception) {
            reject(routing, exception.code(), String.valueOf(exception.getMessage()));
        }
    }

    private static void respond(RoutingContext routing, AnnouncementResult result) {
        String text = result.name().toLowerCase(Locale.ROOT);
        int status = result == AnnouncementResult.FULL ? ErrorCode.OVERLOADED.httpStatus() : 200;
        routing.response()
                .setStatusCode(status)
                .putHeader("Content-Type", "application/json")
                .end(new JsonObject().put("result", text).toBuffer());
    }

    private void fail(RoutingContext routing) {
        if (routing.statusCode() == TOO_LARGE) {
            reject(routing, ErrorCode.TOO_LARGE, "the announcement is larger than " + MAXIMUM_BODY_BYTES + " bytes");
            return;
        }
        reject(routing, ErrorCode.INVALID_ARGUMENT, "the announcement could not be read");
    }

    private void reject(RoutingContext routing, ErrorCode code, String message) {
        metrics.invalidInput("announcement");
        LOGGER.log(EntryEvent.ANNOUNCEMENT_REJECTED, routing.request().remoteAddress(), message);
        if (routing.response().ended()) {
            return;
        }
        routing.response()
                .setStatusCode(code.httpStatus())
                .putHeader(HeaderNames.ERROR, code.text())
                .putHeader("Content-Type", "application/json")
                .end(new JsonObject()
                        .put("error", code.text())
                        .put("message", message)
                        .toBuffer());
    }
}
