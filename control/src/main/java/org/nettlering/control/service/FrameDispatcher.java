package org.nettlering.control.service;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.nettlering.control.log.FrameService;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.transport.FrameHandler;

/**
 * Passes each frame to the service for its kind.
 *
 * <p>Immutable and thread-safe.
 */
public final class FrameDispatcher implements FrameHandler {
    /** Receives the frames of the replicated log. */
    private final Consumer<Frame> consensus;

    /** Answers requests about the configuration. */
    private final FrameService configuration;

    /** Answers requests about tasks and workers. */
    private final FrameService tasks;

    /** Answers requests about idempotency keys. */
    private final FrameService ledger;

    /** Answers requests about the control members. */
    private final FrameService membership;

    /** Answers requests about queues and jobs of steps. */
    private final FrameService workflow;

    /**
     * Creates a dispatcher.
     *
     * @param consensus receives the frames of the replicated log, not null
     * @param configuration answers requests about the configuration, not null
     * @param tasks answers requests about tasks and workers, not null
     * @param ledger answers requests about idempotency keys, not null
     * @param membership answers requests about the control members, not null
     * @param workflow answers requests about queues and jobs of steps, not null
     * @return a new dispatcher, never null
     */
    public static FrameDispatcher of(
            Consumer<Frame> consensus,
            FrameService configuration,
            FrameService tasks,
            FrameService ledger,
            FrameService membership,
            FrameService workflow) {
        return new FrameDispatcher(consensus, configuration, tasks, ledger, membership, workflow);
    }

    private FrameDispatcher(
            Consumer<Frame> consensus,
            FrameService configuration,
            FrameService tasks,
            FrameService ledger,
            FrameService membership,
            FrameService workflow) {
        this.consensus = consensus;
        this.configuration = configuration;
        this.tasks = tasks;
        this.ledger = ledger;
        this.membership = membership;
        this.workflow = workflow;
    }

    @Override
    public CompletionStage<Frame> handleRequest(Frame request) {
        try {
            return serviceFor(request).handle(request);
        } catch (NettleringException exception) {
            return CompletableFuture.failedStage(exception);
        }
    }

    @Override
    public void handleMessage(Frame message) {
        if (message.hasConsensus()) {
            consensus.accept(message);
        }
    }

    private FrameService serviceFor(Frame request) {
        return switch (request.getBodyCase()) {
            case CONFIGURATION_REQUEST -> configuration;
            case TASK_REQUEST -> tasks;
            case LEDGER_REQUEST -> ledger;
            case MEMBERSHIP_REQUEST -> membership;
            case WORKFLOW_REQUEST -> workflow;
            default ->
                throw new NettleringException(
                        ErrorCode.INVALID_ARGUMENT,
                        "a control member does not answer frames of kind " + request.getBodyCase());
        };
    }
}
