package org.nettlering.wire.codec;

import java.util.EnumSet;
import java.util.Set;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.workflow.JobDefinition;
import org.nettlering.domain.workflow.JobPhase;
import org.nettlering.domain.workflow.JobTerms;
import org.nettlering.domain.workflow.PlacementConstraints;
import org.nettlering.domain.workflow.Recurrence;
import org.nettlering.domain.workflow.StepServiceLevel;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.StepTrait;
import org.nettlering.wire.proto.WorkflowProto.JobDefinitionMessage;
import org.nettlering.wire.proto.WorkflowProto.JobPhaseMessage;
import org.nettlering.wire.proto.WorkflowProto.JobTermsMessage;
import org.nettlering.wire.proto.WorkflowProto.StepMessage;
import org.nettlering.wire.proto.WorkflowProto.StepTraitMessage;

/** Encodes and decodes what callers submit. */
public final class JobDefinitionCodec {
    private JobDefinitionCodec() {}

    /**
     * Encodes a definition.
     *
     * @param definition the definition, not null
     * @return the message, never null
     */
    public static JobDefinitionMessage encode(JobDefinition definition) {
        JobDefinitionMessage.Builder message = JobDefinitionMessage.newBuilder()
                .setTaskSpecification(definition.taskSpecification())
                .setOccurrences(definition.recurrence().count())
                .setStartMillis(definition.recurrence().startMillis())
                .setIntervalMillis(definition.recurrence().intervalMillis());
        definition.steps().forEach(step -> message.addSteps(encode(step)));
        return message.build();
    }

    /**
     * Decodes and checks a definition.
     *
     * @param message the message, not null
     * @return the definition, never null
     * @throws NettleringException with {@code INVALID_ARGUMENT} if it is not valid
     */
    public static JobDefinition decode(JobDefinitionMessage message) {
        return new JobDefinition(
                message.getTaskSpecification(),
                message.getStepsList().stream().map(JobDefinitionCodec::decode).toList(),
                new Recurrence(message.getOccurrences(), message.getStartMillis(), message.getIntervalMillis()));
    }

    private static StepMessage encode(StepSpecification step) {
        StepMessage.Builder message = StepMessage.newBuilder()
                .setCount(step.taskCount())
                .setMillicores(step.demand().millicores())
                .setMemoryMebibytes(step.demand().memoryMebibytes())
                .setAccelerators(step.demand().accelerators())
                .setEstimatedRuntimeMillis(step.estimatedRuntimeMillis())
                .addAllDependsOn(step.dependsOn())
                .setDataRack(step.placementConstraints().dataRack())
                .setRequiredLabel(step.placementConstraints().requiredLabel())
                .setMaxPerHost(step.placementConstraints().maxTasksPerHost())
                .setImage(step.serviceLevel().image())
                .setTargetMillis(step.serviceLevel().latencyTargetMillis())
                .setMayMiss(step.serviceLevel().maxUnavailable());
        step.traits().stream().sorted().forEach(trait -> message.addTraits(encode(trait)));
        return message.build();
    }

    private static StepSpecification decode(StepMessage message) {
        Set<StepTrait> traits = EnumSet.noneOf(StepTrait.class);
        message.getTraitsList().forEach(trait -> traits.add(decode(trait)));
        return new StepSpecification(
                message.getCount(),
                Resources.of(message.getMillicores(), message.getMemoryMebibytes(), message.getAccelerators()),
                message.getEstimatedRuntimeMillis(),
                message.getDependsOnList(),
                traits,
                new PlacementConstraints(message.getDataRack(), message.getRequiredLabel(), message.getMaxPerHost()),
                new StepServiceLevel(message.getImage(), message.getTargetMillis(), message.getMayMiss()));
    }

    private static StepTraitMessage encode(StepTrait trait) {
        return switch (trait) {
            case GANG -> StepTraitMessage.GANG;
            case RACK_LOCAL -> StepTraitMessage.RACK_LOCAL;
            case SPECULATIVE -> StepTraitMessage.SPECULATIVE;
            case LONG_RUNNING -> StepTraitMessage.LONG_RUNNING;
            case CHECKPOINTING -> StepTraitMessage.CHECKPOINTING;
            case BEST_EFFORT -> StepTraitMessage.FILLS;
        };
    }

    private static StepTrait decode(StepTraitMessage message) {
        return switch (message) {
            case GANG -> StepTrait.GANG;
            case RACK_LOCAL -> StepTrait.RACK_LOCAL;
            case SPECULATIVE -> StepTrait.SPECULATIVE;
            case LONG_RUNNING -> StepTrait.LONG_RUNNING;
            case CHECKPOINTING -> StepTrait.CHECKPOINTING;
            case FILLS -> StepTrait.BEST_EFFORT;
            case STEP_TRAIT_UNSPECIFIED, UNRECOGNIZED ->
                throw new NettleringException(ErrorCode.INVALID_ARGUMENT, "unknown trait of a step: " + message);
        };
    }

    static JobTermsMessage encode(JobTerms terms) {
        return JobTermsMessage.newBuilder()
                .setQueue(terms.queue())
                .setPool(terms.pool())
                .setTerms(QueueCodec.encode(terms.queueTerms()))
                .build();
    }

    static JobTerms decode(JobTermsMessage message) {
        return new JobTerms(message.getQueue(), message.getPool(), QueueCodec.decode(message.getTerms()));
    }

    /**
     * Encodes a phase.
     *
     * @param phase the phase, not null
     * @return the message, never null
     */
    public static JobPhaseMessage encode(JobPhase phase) {
        return switch (phase) {
            case QUEUED -> JobPhaseMessage.JOB_QUEUED;
            case RUNNING -> JobPhaseMessage.JOB_RUNNING;
            case COMPLETED -> JobPhaseMessage.JOB_COMPLETED;
            case FAILED -> JobPhaseMessage.JOB_FAILED;
            case CANCELLED -> JobPhaseMessage.JOB_CANCELLED;
        };
    }

    /**
     * Decodes a phase.
     *
     * @param message the message, not null
     * @return the phase, never null
     * @throws NettleringException with {@code INVALID_ARGUMENT} if the message is unknown
     */
    public static JobPhase decode(JobPhaseMessage message) {
        return switch (message) {
            case JOB_QUEUED -> JobPhase.QUEUED;
            case JOB_RUNNING -> JobPhase.RUNNING;
            case JOB_COMPLETED -> JobPhase.COMPLETED;
            case JOB_FAILED -> JobPhase.FAILED;
            case JOB_CANCELLED -> JobPhase.CANCELLED;
            case JOB_PHASE_UNSPECIFIED, UNRECOGNIZED ->
                throw new NettleringException(ErrorCode.INVALID_ARGUMENT, "unknown phase of a job: " + message);
        };
    }
}
