package org.nettlering.control.workflow;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.nettlering.domain.workflow.host.HostCommand;
import org.nettlering.domain.workflow.host.HostResponse;

/** Sends commands to the hosts that run tasks. Implementations are thread-safe and do not block. */
@FunctionalInterface
public interface HostCommandSender {
    /**
     * Returns a sender for a process without hosts.
     *
     * @return a sender whose commands all result in {@link HostResponse.NoResponse}, never null
     */
    static HostCommandSender unreachable() {
        return command -> CompletableFuture.completedFuture(
                new HostResponse.NoResponse("this process has no transport to hosts"));
    }

    /**
     * Sends a command to its host.
     *
     * @param command the command, not null
     * @return the response or the reason for its absence, within a bounded time; never fails, never null
     */
    CompletionStage<HostResponse> send(HostCommand command);
}
