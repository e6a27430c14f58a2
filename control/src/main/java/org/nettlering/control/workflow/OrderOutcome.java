package org.nettlering.control.workflow;

import java.util.List;
import java.util.Locale;
import org.nettlering.domain.workflow.host.HostResponse;

/** What came of an order, as one of a few words for logs and metrics. Stateless and thread-safe. */
final class OrderOutcome {
    /** The words for silence, by what the problem's text contains; the first that fits counts. */
    private static final List<Silence> SILENCES = List.of(
            new Silence("getting a connection", "no_connection_in_time"),
            new Silence("pool", "no_connection_in_time"),
            new Silence("connection timed out", "connect_timeout"),
            new Silence("refused", "connect_refused"),
            new Silence("unreachable", "unreachable"),
            new Silence("no route", "unreachable"),
            new Silence("timeout", "no_answer_in_time"),
            new Silence("timed out", "no_answer_in_time"),
            new Silence("closed", "closed"),
            new Silence("reset", "closed"),
            new Silence("broken pipe", "closed"),
            new Silence("status ", "unexpected_status"));

    private OrderOutcome() {}

    /** Returns the word for an answer; unanswered orders tell why in so far as the problem's text shows it. */
    static String of(HostResponse answer) {
        return switch (answer) {
            case HostResponse.Accepted accepted -> "accepted";
            case HostResponse.PollResult listing -> "accepted";
            case HostResponse.Rejected refused ->
                "refused_" + refused.reason().name().toLowerCase(Locale.ROOT);
            case HostResponse.Unhealthy unwell -> "unwell";
            case HostResponse.OtherIncarnation other -> "other_life";
            case HostResponse.NoResponse silent -> "unanswered_" + cause(silent.problem());
            case HostResponse.NotSent unsent -> "unsent_" + cause(unsent.problem());
        };
    }

    private static String cause(String problem) {
        String text = problem.toLowerCase(Locale.ROOT);
        return SILENCES.stream()
                .filter(silence -> text.contains(silence.part()))
                .map(Silence::word)
                .findFirst()
                .orElse("other");
    }

    /**
     * A word for a kind of silence.
     *
     * @param part what the problem's text contains, in small letters, not null
     * @param word the word, not null
     */
    private record Silence(String part, String word) {}
}
