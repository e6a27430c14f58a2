package org.nettlering.operator;

import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.ParserProperties;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.operator.client.EntryClient;
import org.nettlering.operator.client.OperatorException;
import org.nettlering.operator.command.CommandGroup;
import org.nettlering.operator.command.OperatorCommand;
import org.nettlering.operator.command.RootCommands;
import org.nettlering.operator.command.Session;
import org.nettlering.runtime.program.ExitCode;
import org.nettlering.runtime.settings.Addresses;

/**
 * Parses one command line and carries it out.
 *
 * <p>Answers go to the output, errors as {@code nettlering: CODE: MESSAGE} to the error output. Used by one thread.
 */
public final class OperatorProgram {
    /** The variable that names entries, separated by commas, when the command line names none. */
    public static final String ENTRIES_VARIABLE = "NETTLERING_ENTRIES";

    private static final int USAGE_WIDTH = 110;

    /** Receives the answers. */
    private final PrintStream out;

    /** Receives the errors. */
    private final PrintStream err;

    /** The environment variables. */
    private final Map<String, String> environment;

    /**
     * Creates a program.
     *
     * @param out receives the answers, not null
     * @param err receives the errors, not null
     * @param environment the environment variables, not null
     */
    public OperatorProgram(PrintStream out, PrintStream err, Map<String, String> environment) {
        this.out = out;
        this.err = err;
        this.environment = Map.copyOf(environment);
    }

    /**
     * Carries a command line out.
     *
     * @param arguments the command line without the program's name, not null
     * @return what the program exits with, never null
     */
    public ExitCode run(String... arguments) {
        RootCommands root = new RootCommands();
        CmdLineParser parser = parserOf(root);
        try {
            parser.parseArgument(arguments);
            return dispatch(root);
        } catch (CmdLineException exception) {
            report(ErrorCode.INVALID_ARGUMENT, String.valueOf(exception.getMessage()));
            err.println("Try: nettlering --help, or --help after a command.");
            return ExitCode.USAGE;
        } catch (OperatorException exception) {
            report(exception.code(), String.valueOf(exception.getMessage()));
            return exception.exitCode();
        } catch (NettleringException exception) {
            report(exception.code(), String.valueOf(exception.getMessage()));
            return exception.code() == ErrorCode.INVALID_ARGUMENT ? ExitCode.USAGE : ExitCode.FAILURE;
        }
    }

    private ExitCode dispatch(RootCommands root) {
        Object chosen = root;
        while (chosen instanceof CommandGroup group) {
            Object next = group.chosen();
            if (group.isHelp() || next == null) {
                return printHelp(group);
            }
            chosen = next;
        }
        if (!(chosen instanceof OperatorCommand command)) {
            return printHelp(root);
        }
        return command.isHelp() ? printHelp(command) : carryOut(root, command);
    }

    private ExitCode carryOut(RootCommands root, OperatorCommand command) {
        try (EntryClient client = EntryClient.create(addresses(root, command), command.timeout())) {
            command.run(new Session(client, out, root.isJson() || command.isJson()));
            return ExitCode.SUCCESS;
        }
    }

    private List<InetSocketAddress> addresses(RootCommands root, OperatorCommand command) {
        List<String> texts = new ArrayList<>(root.entries());
        texts.addAll(command.entries());
        String variable = environment.getOrDefault(ENTRIES_VARIABLE, "");
        if (texts.isEmpty() && !variable.isBlank()) {
            texts.addAll(List.of(variable.split(",", -1)));
        }
        return texts.stream().map(Addresses::parse).toList();
    }

    private ExitCode printHelp(Object command) {
        out.println("usage: nettlering [--entry IP:PORT]... [--json] COMMAND ... [OPTION]...");
        parserOf(command).printUsage(out);
        out.println("Without --entry the variable " + ENTRIES_VARIABLE + " names the entries, separated by commas.");
        out.println("exit codes: 0 done; 1 refused; 2 wrong command line; 3 outcome unknown, repeat with the same"
                + " operation id; 4 no entry or no leader reached, not run");
        return ExitCode.SUCCESS;
    }

    private static CmdLineParser parserOf(Object command) {
        return new CmdLineParser(command, ParserProperties.defaults().withUsageWidth(USAGE_WIDTH));
    }

    private void report(ErrorCode code, @Nullable String message) {
        err.println("nettlering: " + code.text() + ": " + message);
    }
}
