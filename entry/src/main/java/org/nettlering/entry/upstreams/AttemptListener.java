package org.nettlering.entry.upstreams;

import io.vertx.core.http.HttpClientResponse;
import org.nettlering.domain.retry.AttemptOutcome;

/** Receives the result of an attempt, on the Vert.x context of the request. */
public interface AttemptListener {
    /**
     * Called when the head of a response was received; the response is paused.
     *
     * @param attempt the attempt, not null
     * @param response the response, not null
     */
    void onResponseHead(UpstreamAttempt attempt, HttpClientResponse response);

    /**
     * Called when the attempt failed without a response that can be forwarded.
     *
     * @param attempt the attempt, not null
     * @param outcome what the failure says about the execution of the request, not null
     */
    void onAttemptFailed(UpstreamAttempt attempt, AttemptOutcome outcome);
}
