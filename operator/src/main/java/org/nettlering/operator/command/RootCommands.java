package org.nettlering.operator.command;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/** The whole command line; filled in by args4j. */
public final class RootCommands extends CommandGroup {
    /** The entries. */
    @Option(name = "--entry", metaVar = "IP:PORT", usage = "operators' port of an entry; may also follow the command")
    private List<String> entries = new ArrayList<>();

    /** Whether to print the answer as JSON. */
    @Option(name = "--json", usage = "print the answer as JSON; may also follow the command")
    private boolean json;

    /** The command that was chosen. */
    @Argument(handler = SubCommandHandler.class, required = true, usage = "the command")
    @SubCommands({
        @SubCommand(name = "profile", impl = ProfileCommands.class),
        @SubCommand(name = "service", impl = ServiceCommands.class),
        @SubCommand(name = "team", impl = TeamCommands.class),
        @SubCommand(name = "power-cap", impl = PowerCapCommands.class),
        @SubCommand(name = "job", impl = JobCommands.class),
        @SubCommand(name = "worker", impl = WorkerCommands.class),
        @SubCommand(name = "member", impl = MemberCommands.class),
        @SubCommand(name = "evacuation", impl = EvacuationCommands.class),
        @SubCommand(name = "leader", impl = LeaderCommands.class),
        @SubCommand(name = "status", impl = StatusCommand.class),
        @SubCommand(name = "explain", impl = ExplainCommands.class)
    })
    private @Nullable Object command;

    @Override
    public @Nullable Object chosen() {
        return command;
    }

    /**
     * Returns the entries that stand before the command.
     *
     * @return the addresses as text, never null
     */
    public List<String> entries() {
        return List.copyOf(entries);
    }

    /**
     * Tells whether the answer is printed as JSON.
     *
     * @return true for JSON
     */
    public boolean isJson() {
        return json;
    }
}
