package org.nettlering.operator.command;

import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;
import org.nettlering.operator.client.EntryRequest;
import org.nettlering.operator.output.Reports;
import org.nettlering.wire.proto.ConfigurationProto.ConfigurationChange;
import org.nettlering.wire.proto.ConfigurationProto.Interruption;
import org.nettlering.wire.proto.ConfigurationProto.Profile;
import org.nettlering.wire.proto.ConfigurationProto.SiteConfiguration;

/** The commands about profiles. */
public final class ProfileCommands extends CommandGroup {
    /** The command that was chosen. */
    @Argument(handler = SubCommandHandler.class, required = true, usage = "the command")
    @SubCommands({
        @SubCommand(name = "put", impl = ProfileCommands.Put.class),
        @SubCommand(name = "remove", impl = ProfileCommands.Remove.class),
        @SubCommand(name = "list", impl = ProfileCommands.ListAll.class)
    })
    private @Nullable OperatorCommand command;

    @Override
    public @Nullable Object chosen() {
        return command;
    }

    /** Adds or replaces a profile. */
    public static final class Put extends ChangeCommand {
        /** The name. */
        @Argument(required = true, metaVar = "NAME", usage = "name of the profile")
        private String name = "";

        /** The urgency. */
        @Option(name = "--urgency", required = true, metaVar = "N", usage = "0 (least urgent) to 100")
        private int urgency;

        /** The tolerance for interruption. */
        @Option(
                name = "--interruption",
                required = true,
                usage = "never, throttle (may be slowed down) or evict (may also be stopped and resumed)")
        private InterruptionOption interruption = InterruptionOption.NEVER;

        /** The share of the power cap. */
        @Option(name = "--power-share", required = true, metaVar = "PERCENT", usage = "share of the power cap")
        private int powerShare;

        @Override
        protected ConfigurationChange change() {
            Profile profile = Profile.newBuilder()
                    .setName(name)
                    .setUrgency(urgency)
                    .setInterruption(Interruption.valueOf(interruption.name()))
                    .setPowerSharePercent(powerShare)
                    .build();
            return ConfigurationChange.newBuilder().setPutProfile(profile).build();
        }
    }

    /** Removes a profile. */
    public static final class Remove extends ChangeCommand {
        /** The name. */
        @Argument(required = true, metaVar = "NAME", usage = "name")
        private String name = "";

        @Override
        protected ConfigurationChange change() {
            return ConfigurationChange.newBuilder().setRemoveProfile(name).build();
        }
    }

    /** Lists the profiles. */
    public static final class ListAll extends OperatorCommand {
        @Override
        public void run(Session session) {
            session.show(
                    EntryRequest.get("/v1/configuration"),
                    SiteConfiguration.newBuilder(),
                    site -> Reports.profiles(site.build()));
        }
    }

    /** The tolerances for interruption, as the command line names them. */
    public enum InterruptionOption {
        /** Neither throttled nor evicted. */
        NEVER,
        /** Throttled but not evicted. */
        THROTTLE,
        /** Throttled and evicted. */
        EVICT
    }
}
