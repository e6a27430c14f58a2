package org.nettlering.operator.command;

import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;
import org.nettlering.operator.client.EntryRequest;
import org.nettlering.operator.output.Power;
import org.nettlering.operator.output.Reports;
import org.nettlering.wire.proto.ConfigurationProto.ConfigurationChange;
import org.nettlering.wire.proto.TaskProto.PowerStatus;

/** The commands about the power cap. */
public final class PowerCapCommands extends CommandGroup {
    /** The command that was chosen. */
    @Argument(handler = SubCommandHandler.class, required = true, usage = "the command")
    @SubCommands({
        @SubCommand(name = "set", impl = PowerCapCommands.Set.class),
        @SubCommand(name = "show", impl = PowerCapCommands.Show.class)
    })
    private @Nullable OperatorCommand command;

    @Override
    public @Nullable Object chosen() {
        return command;
    }

    /** Sets the power cap. */
    public static final class Set extends ChangeCommand {
        /** The cap. */
        @Argument(required = true, metaVar = "AMOUNT", usage = "power with its unit, such as 90kW")
        private String amount = "";

        @Override
        protected ConfigurationChange change() {
            return ConfigurationChange.newBuilder()
                    .setPowerCapMilliwatts(Power.parseMilliwatts(amount))
                    .build();
        }
    }

    /** Shows the power cap and what is committed. */
    public static final class Show extends OperatorCommand {
        @Override
        public void run(Session session) {
            session.show(
                    EntryRequest.get("/v1/power"), PowerStatus.newBuilder(), power -> Reports.power(power.build()));
        }
    }
}
