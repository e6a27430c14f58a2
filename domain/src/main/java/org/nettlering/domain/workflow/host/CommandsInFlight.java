package org.nettlering.domain.workflow.host;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * The commands to one host that were taken to be sent and whose outcome was not handled.
 *
 * <p>Not thread-safe.
 */
final class CommandsInFlight {
    private final List<CommandInFlight> commands = new ArrayList<>();

    CommandsInFlight() {}

    /**
     * A command whose outcome is awaited.
     *
     * @param command the command
     * @param takenNanos when it was taken, by the monotonic clock
     */
    private record CommandInFlight(HostCommand command, long takenNanos) {}

    void add(HostCommand command, long nowNanos) {
        commands.add(new CommandInFlight(command, nowNanos));
    }

    /** Removes a command whose outcome is handled now; returns whether it was awaited. */
    boolean remove(HostCommand command) {
        return commands.removeIf(inFlight -> isSame(inFlight.command(), command));
    }

    /** Returns the commands that have had no outcome for at least the given time. */
    List<HostCommand> overdue(Duration deadline, long nowNanos) {
        return commands.stream()
                .filter(inFlight -> nowNanos - inFlight.takenNanos() >= deadline.toNanos())
                .map(CommandInFlight::command)
                .toList();
    }

    /** Compares by identity: two commands with the same content may be in flight. */
    @SuppressWarnings("ReferenceEquality")
    private static boolean isSame(HostCommand one, HostCommand other) {
        return one == other;
    }
}
