package org.nettlering.standins;

import java.io.PrintStream;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;
import org.nettlering.standins.relay.RelayCommand;
import org.nettlering.standins.upstream.UpstreamCommand;
import org.nettlering.standins.worker.WorkerCommandLine;

/**
 * Starts one stand-in as a process of its own.
 *
 * <p>Exit codes: 0 after a normal stop, 2 for a wrong command line.
 */
public final class StandinMain {
    private static final int EXIT_USAGE = 2;

    /** The stand-in to start; absent until the command line is parsed. */
    @Argument(
            required = true,
            metaVar = "COMMAND",
            usage = "upstream, worker or relay",
            handler = SubCommandHandler.class)
    @SubCommands({
        @SubCommand(name = "upstream", impl = UpstreamCommand.class),
        @SubCommand(name = "worker", impl = WorkerCommandLine.class),
        @SubCommand(name = "relay", impl = RelayCommand.class)
    })
    private @Nullable StandinCommand command;

    /** Whether to print the options and stop. */
    @Option(name = "--help", help = true, usage = "prints the options")
    private boolean help;

    private StandinMain() {}

    /**
     * Starts the stand-in that the command line names.
     *
     * @param arguments the command line, not null
     * @throws InterruptedException if the main thread is interrupted
     */
    public static void main(String[] arguments) throws InterruptedException {
        System.exit(new StandinMain().run(arguments));
    }

    private int run(String[] arguments) throws InterruptedException {
        CmdLineParser parser = new CmdLineParser(this);
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException exception) {
            System.err.println("standin: " + exception.getMessage());
            printUsage(exception.getParser(), System.err);
            return EXIT_USAGE;
        }
        if (help || command == null) {
            printUsage(parser, System.out);
            return 0;
        }
        return command.run();
    }

    private static void printUsage(CmdLineParser parser, PrintStream output) {
        output.println("usage: standin upstream|worker|relay OPTIONS");
        parser.printUsage(output);
    }
}
