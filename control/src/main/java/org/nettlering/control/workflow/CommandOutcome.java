package org.nettlering.control.workflow;

import java.util.List;
import java.util.Locale;
import org.nettlering.domain.workflow.host.HostResponse;

/** What came of an order, as one of a few words for logs and metrics. Stateless and thread-safe. */
final class CommandOutcome {
    /** The words for silence, by what the problem's text contains; the first that fits counts. */
    private static final List<CauseLabel> CAUSE_LABELS = List.of(
            new CauseLabel("getting a connection", "no_connection_in_time"),
            new CauseLabel("pool", "no_connection_in_time"),
            new CauseLabel("connection timed out", "connect_timeout"),
            new CauseLabel("refused", "connect_refused"),
            new CauseLabel("unreachable", "unreachable"),
            new CauseLabel("no route", "unreachable"),
            new CauseLabel("timeout", "no_answer_in_time"),
            new CauseLabel("timed out", "no_answer_in_time"),
            new CauseLabel("closed", "closed"),
            new CauseLabel("reset", "closed"),
            new CauseLabel("broken pipe", "closed"),
            new CauseLabel("status ", "unexpected_status"));

    private CommandOutcome() {}

    /** Returns the word for an answer; unanswered orders tell why in so far as the problem's text shows it. */
    static String of(HostResponse response) {
        return switch (response) {
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
        return CAUSE_LABELS.stream()
                .filter(cause -> text.contains(cause.fragment()))
                .map(CauseLabel::label)
                .findFirst()
                .orElse("other");
    }

    /**
     * A word for a kind of silence.
     *
     * @param fragment what the problem's text contains, in small letters, not null
     * @param label the word, not null
     */
    private record CauseLabel(String fragment, String label) {}
}
