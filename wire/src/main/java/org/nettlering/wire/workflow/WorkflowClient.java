package org.nettlering.wire.workflow;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.queue.QueueConfiguration;
import org.nettlering.domain.queue.RequestLimits;
import org.nettlering.domain.workflow.Evacuations;
import org.nettlering.domain.workflow.JobDefinition;
import org.nettlering.domain.workflow.WorkflowCommand.ChangeEvacuation;
import org.nettlering.domain.workflow.host.HostHeartbeat;
import org.nettlering.wire.codec.EvacuationCodec;
import org.nettlering.wire.codec.HostReportCodec;
import org.nettlering.wire.codec.JobDefinitionCodec;
import org.nettlering.wire.codec.QueueCodec;
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.proto.WorkflowProto.HostLeaving;
import org.nettlering.wire.proto.WorkflowProto.JobRequest;
import org.nettlering.wire.proto.WorkflowProto.LeaderCheck;
import org.nettlering.wire.proto.WorkflowProto.ReadEvacuations;
import org.nettlering.wire.proto.WorkflowProto.ReadQueues;
import org.nettlering.wire.proto.WorkflowProto.SubmitJobRequest;
import org.nettlering.wire.proto.WorkflowProto.WorkflowAnswer;
import org.nettlering.wire.proto.WorkflowProto.WorkflowRequest;
import org.nettlering.wire.proto.WorkflowProto.WorkflowResponse;
import org.nettlering.wire.transport.ControlGateway;

/**
 * Sends requests about queues, jobs and hosts to the leader.
 *
 * <p>All requests are idempotent, because each one identifies what it changes. Stages fail with:
 *
 * <ul>
 *   <li>{@code NO_LEADER} if the request certainly had no effect,
 *   <li>{@code OUTCOME_UNKNOWN} if it may have had an effect,
 *   <li>the error code of the leader if the leader rejected it.
 * </ul>
 *
 * <p>Immutable and thread-safe.
 */
public final class WorkflowClient {
    /** How often a change of the evacuations is tried while others change them, too. */
    private static final int MAX_EVACUATION_ATTEMPTS = 5;

    private final ControlGateway gateway;

    /**
     * Creates a client.
     *
     * @param gateway delivers requests to the leader, not null
     * @return a new client, never null
     */
    public static WorkflowClient of(ControlGateway gateway) {
        return new WorkflowClient(gateway);
    }

    private WorkflowClient(ControlGateway gateway) {
        this.gateway = gateway;
    }

    /**
     * Submits a job; submitting it again has no effect.
     *
     * @param authority the host name of the HTTP request, without a port, not null
     * @param path the path of the request: the prefix of a queue followed by the job id, not null
     * @param definition the steps to run, not null
     * @param timeout the limit for all attempts together, not null
     * @return the response, never null
     */
    public CompletionStage<JobResponse> submit(
            String authority, String path, JobDefinition definition, Duration timeout) {
        SubmitJobRequest submit = SubmitJobRequest.newBuilder()
                .setAuthority(authority)
                .setPath(path)
                .setDefinition(JobDefinitionCodec.encode(definition))
                .build();
        return call(WorkflowRequest.newBuilder().setSubmit(submit), timeout).thenApply(WorkflowClient::jobResponse);
    }

    /**
     * Queries the phase of a job, or the number of jobs of a queue that have not started.
     *
     * @param authority the host name of the HTTP request, without a port, not null
     * @param path the path of the request: the prefix of a queue, optionally followed by a job id, not null
     * @param timeout the limit for all attempts together, not null
     * @return the response, never null
     */
    public CompletionStage<JobResponse> show(String authority, String path, Duration timeout) {
        return call(WorkflowRequest.newBuilder().setShow(jobRequest(authority, path)), timeout)
                .thenApply(response -> showResponse(response));
    }

    /**
     * Cancels a job.
     *
     * @param authority the host name of the HTTP request, without a port, not null
     * @param path the path of the request: the prefix of a queue followed by the job id, not null
     * @param timeout the limit for all attempts together, not null
     * @return the response, never null
     */
    public CompletionStage<JobResponse> cancel(String authority, String path, Duration timeout) {
        return call(WorkflowRequest.newBuilder().setCancel(jobRequest(authority, path)), timeout)
                .thenApply(WorkflowClient::jobResponse);
    }

    /**
     * Sends a heartbeat of a host.
     *
     * @param heartbeat the heartbeat, not null
     * @param timeout the limit for all attempts together, not null
     * @return completes when the leader has acknowledged it, never null
     */
    public CompletionStage<Void> sendHeartbeat(HostHeartbeat heartbeat, Duration timeout) {
        return call(WorkflowRequest.newBuilder().setHostReport(HostReportCodec.encode(heartbeat)), timeout)
                .thenAccept(WorkflowClient::requireDone);
    }

    /**
     * Reports that a host is shutting down and its incarnation will not return.
     *
     * @param hostId the incarnation id of the host, not null
     * @param startMillis when the incarnation started, in milliseconds since 1970, or zero if unknown
     * @param timeout the limit for all attempts together, not null
     * @return completes when the leader has acknowledged it, never null
     */
    public CompletionStage<Void> reportShutdown(String hostId, long startMillis, Duration timeout) {
        HostLeaving message = HostLeaving.newBuilder()
                .setHostId(hostId)
                .setStartMillis(startMillis)
                .build();
        return call(WorkflowRequest.newBuilder().setHostLeaving(message), timeout)
                .thenAccept(WorkflowClient::requireDone);
    }

    /**
     * Replaces the queue configuration if its version is higher than the current one; has no effect otherwise.
     *
     * @param configuration the new configuration, not null
     * @param timeout the limit for all attempts together, not null
     * @return completes when the request is committed and applied, never null
     */
    public CompletionStage<Void> replaceQueues(QueueConfiguration configuration, Duration timeout) {
        return call(WorkflowRequest.newBuilder().setReplaceQueues(QueueCodec.encode(configuration)), timeout)
                .thenAccept(WorkflowClient::requireDone);
    }

    /**
     * Reads the current queue configuration.
     *
     * @param timeout the limit for all attempts together, not null
     * @return the configuration, or empty if none has been accepted yet, never null
     */
    public CompletionStage<Optional<QueueConfiguration>> readQueues(Duration timeout) {
        return call(WorkflowRequest.newBuilder().setReadQueues(ReadQueues.getDefaultInstance()), timeout)
                .thenApply(response -> response.getAnswer() == WorkflowAnswer.ANSWER_DONE
                        ? Optional.of(QueueCodec.decode(response.getQueues()))
                        : Optional.empty());
    }

    /**
     * Reads which failure domains are evacuated.
     *
     * @param timeout the limit for all attempts together, not null
     * @return the evacuations, never null
     */
    public CompletionStage<Evacuations> readEvacuations(Duration timeout) {
        return call(WorkflowRequest.newBuilder().setReadEvacuations(ReadEvacuations.getDefaultInstance()), timeout)
                .thenApply(response -> {
                    requireDone(response);
                    return EvacuationCodec.decode(response.getEvacuations());
                });
    }

    /**
     * Starts or finishes the evacuation of a failure domain; has no effect if that is so already. Each attempt is based on
     * the evacuations that were read before, so that one which is carried out late has no effect after another change.
     *
     * @param failureDomain the failure domain, not null
     * @param evacuated true to start the evacuation, false to finish it
     * @param timeout the limit for each request, not null
     * @return completes when the change is committed and applied; fails with {@code REVISION_CONFLICT} if others keep
     *     changing the evacuations, never null
     */
    public CompletionStage<Void> changeEvacuation(String failureDomain, boolean evacuated, Duration timeout) {
        return changeEvacuation(failureDomain, evacuated, timeout, MAX_EVACUATION_ATTEMPTS);
    }

    private CompletionStage<Void> changeEvacuation(
            String failureDomain, boolean evacuated, Duration timeout, int attemptsLeft) {
        if (attemptsLeft == 0) {
            return CompletableFuture.failedStage(
                    new NettleringException(ErrorCode.REVISION_CONFLICT, "the evacuations keep changing; try again"));
        }
        return readEvacuations(timeout).thenCompose(current -> {
            if (current.includes(failureDomain) == evacuated) {
                return CompletableFuture.completedStage(null);
            }
            ChangeEvacuation change = new ChangeEvacuation(failureDomain, evacuated, current.version());
            return call(WorkflowRequest.newBuilder().setChangeEvacuation(EvacuationCodec.encode(change)), timeout)
                    .thenCompose(response -> {
                        if (response.getAnswer() == WorkflowAnswer.ANSWER_CONFLICT) {
                            return changeEvacuation(failureDomain, evacuated, timeout, attemptsLeft - 1);
                        }
                        requireDone(response);
                        return CompletableFuture.<Void>completedStage(null);
                    });
        });
    }

    /**
     * Checks that a member is reachable that considers itself the leader. Within an election timeout it may have been deposed.
     *
     * @param timeout the limit for all attempts together, not null
     * @return completes when the member has responded, with the limits on requests that it knows of, the default ones if it
     *     is of a version that tells none, never null
     */
    public CompletionStage<RequestLimits> checkLeader(Duration timeout) {
        return call(WorkflowRequest.newBuilder().setCheck(LeaderCheck.getDefaultInstance()), timeout)
                .thenApply(response -> {
                    requireDone(response);
                    return response.hasLimits() ? QueueCodec.decode(response.getLimits()) : RequestLimits.DEFAULT;
                });
    }

    private CompletionStage<WorkflowResponse> call(WorkflowRequest.Builder request, Duration timeout) {
        Frame frame = Frame.newBuilder().setWorkflowRequest(request).build();
        return gateway.callLeader(frame, true, timeout).thenApply(Frame::getWorkflowResponse);
    }

    private static JobRequest jobRequest(String authority, String path) {
        return JobRequest.newBuilder().setAuthority(authority).setPath(path).build();
    }

    private static JobResponse showResponse(WorkflowResponse response) {
        if (response.getAnswer() != WorkflowAnswer.ANSWER_DONE) {
            return jobResponse(response);
        }
        return response.getPhaseValue() == 0
                ? new JobResponse.Pending(response.getPendingJobs())
                : new JobResponse.Phase(JobDefinitionCodec.decode(response.getPhase()));
    }

    private static JobResponse jobResponse(WorkflowResponse response) {
        return switch (response.getAnswer()) {
            case ANSWER_DONE -> new JobResponse.Done();
            case ANSWER_NO_QUEUE -> new JobResponse.NoQueue();
            case ANSWER_NO_JOB -> new JobResponse.NoJob();
            case ANSWER_REJECTED -> new JobResponse.Rejected(Duration.ofMillis(response.getRetryAfterMillis()));
            case ANSWER_NO_CONFIGURATION -> new JobResponse.NoConfiguration();
            case ANSWER_CONFLICT, WORKFLOW_ANSWER_UNSPECIFIED, UNRECOGNIZED -> throw unexpectedResponse(response);
        };
    }

    private static void requireDone(WorkflowResponse response) {
        if (response.getAnswer() != WorkflowAnswer.ANSWER_DONE) {
            throw unexpectedResponse(response);
        }
    }

    private static NettleringException unexpectedResponse(WorkflowResponse response) {
        return new NettleringException(
                ErrorCode.INTERNAL, "unexpected response from the leader: " + response.getAnswer());
    }
}
