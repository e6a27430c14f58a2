package org.nettlering.standins.http;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import com.google.protobuf.MessageOrBuilder;
import com.google.protobuf.util.JsonFormat;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.SocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/**
 * Sends protobuf messages as JSON to the ports of an entry.
 *
 * <p>Each call has a timeout, after which its connection is closed. Every exchange runs on one event loop: a response
 * whose callbacks were added from another thread can lose its body. Thread-safe.
 */
public final class JsonClient {
    private static final int POOL_SIZE = 64;

    /** The HTTP client. */
    private final HttpClient client;

    /** The event loop of all exchanges. */
    private final Context context;

    /** The longest time for one call. */
    private final Duration timeout;

    /**
     * Creates a client.
     *
     * @param vertx the event loops to use, not null
     * @param timeout the longest time for one call, not null
     * @return a new client, never null
     */
    public static JsonClient create(Vertx vertx, Duration timeout) {
        return new JsonClient(vertx, timeout);
    }

    private JsonClient(Vertx vertx, Duration timeout) {
        HttpClientOptions options = new HttpClientOptions().setConnectTimeout((int) timeout.toMillis());
        this.client = vertx.createHttpClient(options, new PoolOptions().setHttp1MaxSize(POOL_SIZE));
        this.context = vertx.getOrCreateContext();
        this.timeout = timeout;
    }

    /**
     * Posts a message.
     *
     * @param address where to send it, not null
     * @param path the path of the resource, not null
     * @param message the body, not null
     * @return the body of a 2xx answer; fails for any other answer and after the timeout, never null
     */
    public Future<String> post(SocketAddress address, String path, MessageOrBuilder message) {
        try {
            return send(
                    HttpMethod.POST,
                    address,
                    path,
                    Buffer.buffer(JsonFormat.printer().print(message)));
        } catch (InvalidProtocolBufferException exception) {
            return Future.failedFuture(exception);
        }
    }

    /**
     * Gets a resource.
     *
     * @param address where to ask, not null
     * @param path the path of the resource, not null
     * @return the body of a 2xx answer; fails for any other answer and after the timeout, never null
     */
    public Future<String> get(SocketAddress address, String path) {
        return send(HttpMethod.GET, address, path, Buffer.buffer());
    }

    /**
     * Reads a message from JSON.
     *
     * @param json the text, not null
     * @param builder the builder to fill, not null
     * @param <T> the type of the builder
     * @return the builder, never null
     * @throws NettleringException with {@code INVALID_ARGUMENT} if the text is not such a message
     */
    public static <T extends Message.Builder> T read(String json, T builder) {
        try {
            JsonFormat.parser().ignoringUnknownFields().merge(json, builder);
            return builder;
        } catch (InvalidProtocolBufferException exception) {
            throw new NettleringException(
                    ErrorCode.INVALID_ARGUMENT,
                    "not a " + builder.getDescriptorForType().getName() + ": " + json,
                    exception);
        }
    }

    private Future<String> send(HttpMethod method, SocketAddress address, String path, Buffer body) {
        RequestOptions options = new RequestOptions()
                .setMethod(method)
                .setServer(address)
                .setHost(address.host())
                .setPort(address.port())
                .setURI(path)
                .setIdleTimeout(timeout.toMillis());
        if (body.length() > 0) {
            options.putHeader("Content-Type", "application/json");
        }
        Promise<String> answer = Promise.promise();
        context.runOnContext(onLoop -> client.request(options)
                .compose(request -> request.send(body))
                .compose(JsonClient::wholeBody)
                .onComplete(answer));
        return answer.future().timeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
    }

    private static Future<String> wholeBody(HttpClientResponse response) {
        return response.body().compose(body -> {
            String text = body.toString();
            if (response.statusCode() / 100 == 2) {
                return Future.succeededFuture(text);
            }
            return Future.failedFuture(new NettleringException(
                    ErrorCode.UPSTREAM_FAILED, "answered " + response.statusCode() + ": " + text));
        });
    }
}
