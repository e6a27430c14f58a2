package org.nettlering.wire.codec;

import java.util.Set;
import org.nettlering.domain.workflow.Evacuations;
import org.nettlering.domain.workflow.WorkflowCommand.ChangeEvacuation;
import org.nettlering.wire.proto.WorkflowProto.EvacuationChange;
import org.nettlering.wire.proto.WorkflowProto.EvacuationsMessage;

/** Encodes and decodes the evacuations of failure domains. */
public final class EvacuationCodec {
    private EvacuationCodec() {}

    /**
     * Encodes a change.
     *
     * @param change the change, not null
     * @return the message, never null
     */
    public static EvacuationChange encode(ChangeEvacuation change) {
        return EvacuationChange.newBuilder()
                .setFailureDomain(change.failureDomain())
                .setEvacuated(change.evacuated())
                .setExpectedVersion(change.expectedVersion())
                .build();
    }

    /**
     * Decodes a change.
     *
     * @param message the message, not null
     * @return the change, never null
     */
    public static ChangeEvacuation decode(EvacuationChange message) {
        return new ChangeEvacuation(message.getFailureDomain(), message.getEvacuated(), message.getExpectedVersion());
    }

    /**
     * Encodes evacuations.
     *
     * @param evacuations the evacuations, not null
     * @return the message, never null
     */
    public static EvacuationsMessage encode(Evacuations evacuations) {
        return EvacuationsMessage.newBuilder()
                .setVersion(evacuations.version())
                .addAllFailureDomains(evacuations.failureDomains())
                .build();
    }

    /**
     * Decodes evacuations.
     *
     * @param message the message, not null
     * @return the evacuations, never null
     */
    public static Evacuations decode(EvacuationsMessage message) {
        return Evacuations.of(message.getVersion(), Set.copyOf(message.getFailureDomainsList()));
    }
}
