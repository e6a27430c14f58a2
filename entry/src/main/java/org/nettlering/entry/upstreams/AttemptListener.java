package org.nettlering.entry.upstreams;

import io.vertx.core.http.HttpClientResponse;
import org.nettlering.domain.retry.AttemptOutcome;

/** Hears of one attempt, on the request's own context. */
public interface AttemptListener {
    /**
     * The head of an answer has come; the response is paused.
     *
     * @param attempt the attempt, not null
     * @param response the answer, not null
     */
    void onResponseHead(UpstreamAttempt attempt, HttpClientResponse response);

    /**
     * The attempt ended without an answer.
     *
     * @param attempt the attempt, not null
     * @param outcome what that proves, not null
     */
    void onAttemptFailed(UpstreamAttempt attempt, AttemptOutcome outcome);
}
