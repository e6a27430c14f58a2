package org.nettlering.control.testing;

import org.nettlering.control.log.StatePart;
import org.nettlering.wire.proto.CommandProto.SiteCommand;
import org.nettlering.wire.proto.CommandProto.SiteResult;
import org.nettlering.wire.proto.CommandProto.SiteSnapshot;

/** A part of the state that holds nothing. */
public final class EmptyPart implements StatePart {
    @Override
    public SiteResult apply(SiteCommand command) {
        return SiteResult.getDefaultInstance();
    }

    @Override
    public void save(SiteSnapshot.Builder snapshot) {}

    @Override
    public void restore(SiteSnapshot snapshot) {}
}
