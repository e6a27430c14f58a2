import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.Executors;

/** Sends requests over HTTP/1.1. Thread-safe. */
final class Web implements AutoCloseable {
    /** A response; the status is zero if none came. */
    record Response(int status, String body) {}

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofMillis(900))
            .executor(Executors.newVirtualThreadPerTaskExecutor())
            .build();

    Response post(String address, String host, String path, String body, long timeoutMillis) {
        return send("POST", address, host, path, body, timeoutMillis);
    }

    Response get(String address, String host, String path, long timeoutMillis) {
        return send("GET", address, host, path, null, timeoutMillis);
    }

    Response delete(String address, String host, String path, long timeoutMillis) {
        return send("DELETE", address, host, path, null, timeoutMillis);
    }

    private Response send(
            String method, String address, String host, String path, String body, long timeoutMillis) {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(Duration.ofMillis(timeoutMillis))
                .method(
                        method,
                        body == null
                                ? HttpRequest.BodyPublishers.noBody()
                                : HttpRequest.BodyPublishers.ofString(body));
        if (body != null) {
            request.header("Content-Type", "application/json");
        }
        if (!host.isEmpty()) {
            request.header("Host", host);
        }
        try {
            HttpResponse<String> response = client.send(request.build(), HttpResponse.BodyHandlers.ofString());
            return new Response(response.statusCode(), response.body());
        } catch (java.io.IOException failure) {
            return new Response(0, String.valueOf(failure.getMessage()));
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
            return new Response(0, "interrupted");
        }
    }

    @Override
    public void close() {
        client.shutdownNow();
    }
}
