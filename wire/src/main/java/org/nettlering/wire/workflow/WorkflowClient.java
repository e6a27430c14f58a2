package org.nettlering.wire.workflow;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.queue.QueueConfiguration;
import org.nettlering.domain.workflow.JobDefinition;
import org.nettlering.domain.workflow.host.HostHeartbeat;
import org.nettlering.wire.codec.HostReportCodec;
import org.nettlering.wire.codec.JobDefinitionCodec;
import org.nettlering.wire.codec.QueueCodec;
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.proto.WorkflowProto.HostLeaving;
import org.nettlering.wire.proto.WorkflowProto.JobRequest;
import org.nettlering.wire.proto.WorkflowProto.LeaderCheck;
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
     * Checks that a member is reachable that considers itself the leader. Within an election timeout it may have been deposed.
     *
     * @param timeout the limit for all attempts together, not null
     * @return completes when the member has responded, never null
     */
    public CompletionStage<Void> checkLeader(Duration timeout) {
        return call(WorkflowRequest.newBuilder().setCheck(LeaderCheck.getDefaultInstance()), timeout)
                .thenAccept(WorkflowClient::requireDone);
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
            case WORKFLOW_ANSWER_UNSPECIFIED, UNRECOGNIZED -> throw unexpectedResponse(response);
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
