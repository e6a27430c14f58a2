package org.nettlering.control.workflow;

import java.util.List;
import java.util.Locale;
import org.nettlering.domain.workflow.host.HostAnswer;

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
    static String of(HostAnswer answer) {
        return switch (answer) {
            case HostAnswer.Accepted accepted -> "accepted";
            case HostAnswer.Listing listing -> "accepted";
            case HostAnswer.Refused refused ->
                "refused_" + refused.reason().name().toLowerCase(Locale.ROOT);
            case HostAnswer.Unwell unwell -> "unwell";
            case HostAnswer.OtherLife other -> "other_life";
            case HostAnswer.Silent silent -> "unanswered_" + cause(silent.problem());
            case HostAnswer.Unsent unsent -> "unsent_" + cause(unsent.problem());
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
