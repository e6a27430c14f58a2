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
import org.nettlering.wire.proto.ConfigurationProto.SiteConfiguration;
import org.nettlering.wire.proto.ConfigurationProto.Team;

/** The commands about teams and their quotas. */
public final class TeamCommands extends CommandGroup {
    /** The command that was chosen. */
    @Argument(handler = SubCommandHandler.class, required = true, usage = "the command")
    @SubCommands({
        @SubCommand(name = "put", impl = TeamCommands.Put.class),
        @SubCommand(name = "remove", impl = TeamCommands.Remove.class),
        @SubCommand(name = "list", impl = TeamCommands.ListAll.class)
    })
    private @Nullable OperatorCommand command;

    @Override
    public @Nullable Object chosen() {
        return command;
    }

    /** Adds or replaces a team. */
    public static final class Put extends ChangeCommand {
        /** The name. */
        @Argument(required = true, metaVar = "NAME", usage = "name of the team")
        private String name = "";

        /** The quota of processors. */
        @Option(name = "--millicores", required = true, metaVar = "N", usage = "quota of processors")
        private long millicores;

        /** The quota of memory. */
        @Option(name = "--memory-mebibytes", required = true, metaVar = "N", usage = "quota of memory")
        private long memoryMebibytes;

        /** The quota of accelerators. */
        @Option(name = "--accelerators", metaVar = "N", usage = "quota of accelerators")
        private int accelerators;

        @Override
        protected ConfigurationChange change() {
            Team team = Team.newBuilder()
                    .setName(name)
                    .setMillicores(millicores)
                    .setMemoryMebibytes(memoryMebibytes)
                    .setAccelerators(accelerators)
                    .build();
            return ConfigurationChange.newBuilder().setPutTeam(team).build();
        }
    }

    /** Removes a team. */
    public static final class Remove extends ChangeCommand {
        /** The name. */
        @Argument(required = true, metaVar = "NAME", usage = "name")
        private String name = "";

        @Override
        protected ConfigurationChange change() {
            return ConfigurationChange.newBuilder().setRemoveTeam(name).build();
        }
    }

    /** Lists the teams. */
    public static final class ListAll extends OperatorCommand {
        @Override
        public void run(Session session) {
            session.show(
                    EntryRequest.get("/v1/configuration"),
                    SiteConfiguration.newBuilder(),
                    site -> Reports.teams(site.build()));
        }
    }
}
