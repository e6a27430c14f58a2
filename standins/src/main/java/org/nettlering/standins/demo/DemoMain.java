package org.nettlering.standins.demo;

import java.io.PrintStream;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/**
 * Runs a demonstration of the whole system on loopback.
 *
 * <p>Exit codes: 0 if every promise held, 1 if one did not or the site did not start, 2 for a wrong command line.
 */
public final class DemoMain {
    private static final int EXIT_BROKEN = 1;
    private static final int EXIT_USAGE = 2;

    /** Which demonstration to run. */
    @Option(name = "--scenario", usage = "which demonstration to run")
    private ScenarioName scenario = ScenarioName.STANDARD;

    /** Whether to print the options and stop. */
    @Option(name = "--help", help = true, usage = "prints the options")
    private boolean help;

    private DemoMain() {}

    /**
     * Runs a demonstration.
     *
     * @param arguments the command line, not null
     */
    public static void main(String[] arguments) {
        System.exit(new DemoMain().run(arguments, System.out));
    }

    private int run(String[] arguments, PrintStream output) {
        CmdLineParser parser = new CmdLineParser(this);
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException exception) {
            System.err.println("demo: " + exception.getMessage());
            parser.printUsage(System.err);
            return EXIT_USAGE;
        }
        if (help) {
            parser.printUsage(output);
            return 0;
        }
        try {
            Verdict verdict = scenario.create().run(output);
            verdict.print(output);
            return verdict.isKept() ? 0 : EXIT_BROKEN;
        } catch (RuntimeException exception) {
            System.err.println("demo: " + exception.getMessage());
            return EXIT_BROKEN;
        }
    }
}
