package org.nettlering.operator.command;

import org.nettlering.operator.client.EntryRequest;
import org.nettlering.operator.output.Reports;
import org.nettlering.wire.proto.OperatorProto.SiteStatus;

/** Shows the state of the site as one entry sees it. */
public final class StatusCommand extends OperatorCommand {
    @Override
    public void run(Session session) {
        session.show(EntryRequest.get("/v1/status"), SiteStatus.newBuilder(), status -> Reports.status(status.build()));
    }
}
