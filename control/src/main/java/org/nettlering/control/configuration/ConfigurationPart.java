package org.nettlering.control.configuration;

import org.nettlering.control.log.StatePart;
import org.nettlering.domain.configuration.ConfigurationOutcome;
import org.nettlering.domain.configuration.ConfigurationState;
import org.nettlering.wire.codec.ConfigurationCodec;
import org.nettlering.wire.proto.CommandProto.SiteCommand;
import org.nettlering.wire.proto.CommandProto.SiteResult;
import org.nettlering.wire.proto.CommandProto.SiteSnapshot;

/**
 * The configuration as a part of the replicated state.
 *
 * <p>Thread-safe; the state has a lock of its own.
 */
public final class ConfigurationPart implements StatePart {
    /** The replicated configuration. */
    private final ConfigurationState state = ConfigurationState.create();

    /**
     * Creates the part before the first change.
     *
     * @return a new part, never null
     */
    public static ConfigurationPart create() {
        return new ConfigurationPart();
    }

    private ConfigurationPart() {}

    /**
     * Returns the replicated configuration.
     *
     * @return the state, for reading, never null
     */
    public ConfigurationState state() {
        return state;
    }

    @Override
    public SiteResult apply(SiteCommand command) {
        ConfigurationOutcome outcome = state.apply(ConfigurationCodec.toOperation(command.getConfiguration()));
        return SiteResult.newBuilder()
                .setConfiguration(ConfigurationCodec.toMessage(outcome))
                .build();
    }

    @Override
    public void save(SiteSnapshot.Builder snapshot) {
        snapshot.setConfiguration(ConfigurationCodec.toMessage(state.snapshot()));
    }

    @Override
    public void restore(SiteSnapshot snapshot) {
        state.restore(ConfigurationCodec.toSnapshot(snapshot.getConfiguration()));
    }
}
