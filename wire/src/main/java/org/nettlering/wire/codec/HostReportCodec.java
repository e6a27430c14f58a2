package org.nettlering.wire.codec;

import org.nettlering.domain.task.Resources;
import org.nettlering.domain.workflow.HostIncarnation;
import org.nettlering.domain.workflow.host.HostHeartbeat;
import org.nettlering.wire.proto.WorkflowProto.HostReportMessage;

/** Encodes and decodes what hosts tell of themselves. */
public final class HostReportCodec {
    private HostReportCodec() {}

    /**
     * Encodes a report.
     *
     * @param report the report, not null
     * @return the message, never null
     */
    public static HostReportMessage encode(HostHeartbeat report) {
        return HostReportMessage.newBuilder()
                .setHostId(report.host().id())
                .setHostAddress(report.host().address())
                .setPool(report.pool())
                .setFailureDomain(report.failureDomain())
                .setMillicores(report.capacity().millicores())
                .setMemoryMebibytes(report.capacity().memoryMebibytes())
                .setAccelerators(report.capacity().accelerators())
                .setKind(report.kind())
                .setRack(report.rack())
                .setDraining(report.draining())
                .setClockMillis(report.clockMillis())
                .setSequence(report.sequence())
                .setStartMillis(report.startMillis())
                .setDrainLeftMillis(report.drainLeftMillis())
                .setColdLeftMillis(report.coldLeftMillis())
                .build();
    }

    /**
     * Decodes a report.
     *
     * @param message the message, not null
     * @return the report, never null
     */
    public static HostHeartbeat decode(HostReportMessage message) {
        return new HostHeartbeat(
                new HostIncarnation(message.getHostId(), message.getHostAddress()),
                message.getPool(),
                message.getFailureDomain(),
                Resources.of(message.getMillicores(), message.getMemoryMebibytes(), message.getAccelerators()),
                message.getKind(),
                message.getRack(),
                message.getDraining(),
                message.getClockMillis(),
                message.getSequence(),
                message.getStartMillis(),
                message.getDrainLeftMillis(),
                message.getColdLeftMillis());
    }
}
