package org.nettlering.control.workflow;

import java.util.List;
import java.util.Locale;
import org.nettlering.domain.workflow.host.HostResponse;

/** Maps the outcome of a command to a label value from a small fixed set, for logs and metrics. Stateless and thread-safe. */
final class CommandOutcome {
    /** The labels for causes of failed requests; the first whose fragment occurs in the error text applies. */
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

    /** Returns the label for a response; for a missing response it includes the cause as far as the error text shows it. */
    static String of(HostResponse response) {
        return switch (response) {
            case HostResponse.Accepted accepted -> "accepted";
            case HostResponse.PollResult result -> "accepted";
            case HostResponse.Rejected rejected ->
                "refused_" + rejected.reason().name().toLowerCase(Locale.ROOT);
            case HostResponse.Unhealthy unhealthy -> "unwell";
            case HostResponse.OtherIncarnation other -> "other_life";
            case HostResponse.NoResponse noResponse -> "unanswered_" + cause(noResponse.problem());
            case HostResponse.NotSent notSent -> "unsent_" + cause(notSent.problem());
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
     * The label of a cause.
     *
     * @param fragment the part of the error text that identifies the cause, in lower case, not null
     * @param label the label, not null
     */
    private record CauseLabel(String fragment, String label) {}
}
