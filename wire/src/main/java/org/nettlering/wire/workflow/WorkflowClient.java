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
 * Asks the leader about queues, jobs of steps and hosts.
 *
 * <p>Every request may be repeated, as each names what it changes. Stages fail with {@code NO_LEADER} when the request
 * certainly had no effect, with {@code OUTCOME_UNKNOWN} when it may have had, and with the leader's code when it was
 * refused. Immutable and thread-safe.
 */
public final class WorkflowClient {
    /** The way to the leader. */
    private final ControlGateway gateway;

    /**
     * Creates a client.
     *
     * @param gateway the way to the leader, not null
     * @return a new client, never null
     */
    public static WorkflowClient of(ControlGateway gateway) {
        return new WorkflowClient(gateway);
    }

    private WorkflowClient(ControlGateway gateway) {
        this.gateway = gateway;
    }

    /**
     * Submits a job; submitting it again changes nothing.
     *
     * @param authority the host that the request names, not null
     * @param path the path of the request, which leads to a queue and ends with the id of the job, not null
     * @param definition what to run, not null
     * @param timeout the limit for all attempts together, not null
     * @return the answer, never null
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
     * Asks how far a job is, or how many jobs of a queue have not started.
     *
     * @param authority the host that the request names, not null
     * @param path the path of the request, which leads to a queue and may end with the id of a job, not null
     * @param timeout the limit for all attempts together, not null
     * @return the answer, never null
     */
    public CompletionStage<JobResponse> show(String authority, String path, Duration timeout) {
        return call(WorkflowRequest.newBuilder().setShow(jobRequest(authority, path)), timeout)
                .thenApply(response -> showResponse(response));
    }

    /**
     * Cancels a job.
     *
     * @param authority the host that the request names, not null
     * @param path the path of the request, which leads to a queue and ends with the id of the job, not null
     * @param timeout the limit for all attempts together, not null
     * @return the answer, never null
     */
    public CompletionStage<JobResponse> cancel(String authority, String path, Duration timeout) {
        return call(WorkflowRequest.newBuilder().setCancel(jobRequest(authority, path)), timeout)
                .thenApply(WorkflowClient::jobResponse);
    }

    /**
     * Passes on what a host tells of itself.
     *
     * @param heartbeat the report, not null
     * @param timeout the limit for all attempts together, not null
     * @return completes once the leader has taken it, never null
     */
    public CompletionStage<Void> sendHeartbeat(HostHeartbeat heartbeat, Duration timeout) {
        return call(WorkflowRequest.newBuilder().setHostReport(HostReportCodec.encode(heartbeat)), timeout)
                .thenAccept(WorkflowClient::requireDone);
    }

    /**
     * Passes on that a host leaves for good.
     *
     * @param hostId this life of the host, not null
     * @param timeout the limit for all attempts together, not null
     * @return completes once the leader has taken it, never null
     */
    public CompletionStage<Void> reportShutdown(String hostId, Duration timeout) {
        HostLeaving message = HostLeaving.newBuilder().setHostId(hostId).build();
        return call(WorkflowRequest.newBuilder().setHostLeaving(message), timeout)
                .thenAccept(WorkflowClient::requireDone);
    }

    /**
     * Replaces the queues if the version is higher than the one in force; otherwise nothing changes.
     *
     * @param configuration the queues, not null
     * @param timeout the limit for all attempts together, not null
     * @return completes once it is in the log and in force, never null
     */
    public CompletionStage<Void> replaceQueues(QueueConfiguration configuration, Duration timeout) {
        return call(WorkflowRequest.newBuilder().setReplaceQueues(QueueCodec.encode(configuration)), timeout)
                .thenAccept(WorkflowClient::requireDone);
    }

    /**
     * Reads the queues in force.
     *
     * @param timeout the limit for all attempts together, not null
     * @return the queues, or empty before the first configuration, never null
     */
    public CompletionStage<Optional<QueueConfiguration>> readQueues(Duration timeout) {
        return call(WorkflowRequest.newBuilder().setReadQueues(ReadQueues.getDefaultInstance()), timeout)
                .thenApply(response -> response.getAnswer() == WorkflowAnswer.ANSWER_DONE
                        ? Optional.of(QueueCodec.decode(response.getQueues()))
                        : Optional.empty());
    }

    /**
     * Checks that a member can be reached that believes to lead; within an election timeout it may be mistaken.
     *
     * @param timeout the limit for all attempts together, not null
     * @return completes when the member has answered, never null
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
        return new NettleringException(ErrorCode.INTERNAL, "the leader answered " + response.getAnswer());
    }
}
