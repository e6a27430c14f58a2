package org.nettlering.control.workflow;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.nettlering.domain.workflow.host.HostCommand;
import org.nettlering.domain.workflow.host.HostResponse;

/** The way to the hosts that run tasks. Implementations are thread-safe and do not block. */
@FunctionalInterface
public interface HostCommandSender {
    /**
     * Returns a way that reaches no host, for a process without any.
     *
     * @return orders that are never answered, never null
     */
    static HostCommandSender unreachable() {
        return command ->
                CompletableFuture.completedFuture(new HostResponse.NoResponse("this process reaches no hosts"));
    }

    /**
     * Sends an order.
     *
     * @param command the order, not null
     * @return what came of it, within a bounded time; never fails, never null
     */
    CompletionStage<HostResponse> send(HostCommand command);
}
