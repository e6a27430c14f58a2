package org.nettlering.runtime.program;

import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.nio.file.Path;
import java.util.function.Function;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.runtime.log.EventLogger;
import org.nettlering.runtime.log.LogOutput;
import org.nettlering.runtime.log.RuntimeEvent;
import org.nettlering.runtime.settings.SettingsException;

/**
 * The main class of a long-running program: reads {@code --settings FILE}, starts, and stops gracefully on SIGTERM.
 *
 * <pre>{@code
 * public static void main(String[] arguments) {
 *     Daemon.of("nettlering-control", ControlSettings::load, ControlProcess::start).main(arguments);
 * }
 * }</pre>
 *
 * <p>Exits with {@link ExitCode#USAGE} when the command line or the settings are wrong; every fault is one line on
 * standard error, and nothing was started. Ends with {@link ExitCode#FAILURE} when a thread or a timer ends by an error that
 * nobody handles, so that no process goes on with a part of it dead. Exits with 0 after a graceful stop. Used by one thread.
 *
 * @param <S> the type of the settings
 */
public final class Daemon<S> {
    private static final EventLogger LOG = EventLogger.of(Daemon.class);

    /** The name of the program. */
    private final String name;

    /** Reads the settings. */
    private final Function<Path, S> load;

    /** Starts the program. */
    private final Function<S, Running<S>> start;

    /**
     * Describes a program.
     *
     * @param name the name of the program, not null
     * @param load reads and checks the settings, not null
     * @param start starts the program and returns once it runs, not null
     * @param <S> the type of the settings
     * @return a new instance, never null
     */
    public static <S> Daemon<S> of(String name, Function<Path, S> load, Function<S, Running<S>> start) {
        return new Daemon<>(name, load, start);
    }

    private Daemon(String name, Function<Path, S> load, Function<S, Running<S>> start) {
        this.name = name;
        this.load = load;
        this.start = start;
    }

    /**
     * Runs the program until it is told to stop, or ends the virtual machine with an exit code at once.
     *
     * @param arguments the command line, not null
     */
    @SuppressWarnings("SystemExitOutsideMain")
    public void main(String[] arguments) {
        Thread.setDefaultUncaughtExceptionHandler(UncaughtFailures.of(Daemon::endWithFailure));
        ExitCode code = run(arguments, System.out, System.err, this::stopOnShutdown);
        if (code != ExitCode.SUCCESS) {
            LogOutput.flush();
            System.exit(code.number());
        }
    }

    /** Ends the process at once: a part of it is dead, and whoever started it starts it again. */
    private static void endWithFailure() {
        LogOutput.flush();
        Runtime.getRuntime().halt(ExitCode.FAILURE.number());
    }

    /**
     * Parses the command line, reads the settings and starts the program.
     *
     * @param arguments the command line, not null
     * @param out receives help, not null
     * @param err receives errors, one line each, not null
     * @param started receives the running program, not null
     * @return {@code SUCCESS} when the program runs or help was asked for, never null
     */
    ExitCode run(String[] arguments, PrintStream out, PrintStream err, Started<S> started) {
        DaemonOptions options = new DaemonOptions();
        CmdLineParser parser = new CmdLineParser(options);
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException exception) {
            err.println(name + ": invalid-argument: " + exception.getMessage());
            return ExitCode.USAGE;
        }
        if (options.isHelp()) {
            printHelp(parser, out);
            return ExitCode.SUCCESS;
        }
        if (options.settings() == null) {
            err.println(name + ": invalid-argument: the option --settings FILE is missing");
            return ExitCode.USAGE;
        }
        return start(options, err, started);
    }

    private ExitCode start(DaemonOptions options, PrintStream err, Started<S> started) {
        try {
            Path file = Path.of(String.valueOf(options.settings()));
            S settings = load.apply(file);
            if (options.isCheck()) {
                return ExitCode.SUCCESS;
            }
            Running<S> running = start.apply(settings);
            HangUpSignal.handle(() -> reload(file, running));
            LOG.log(
                    RuntimeEvent.STARTED,
                    name,
                    ManagementFactory.getRuntimeMXBean().getUptime());
            started.accept(running);
            return ExitCode.SUCCESS;
        } catch (SettingsException exception) {
            exception.faults().forEach(fault -> err.println(name + ": invalid-settings: " + fault));
            return ExitCode.USAGE;
        } catch (NettleringException exception) {
            err.println(name + ": " + exception.code().text() + ": " + exception.getMessage());
            LOG.log(RuntimeEvent.START_FAILED, name, exception);
            return ExitCode.FAILURE;
        }
    }

    /** Reads the settings again; with faults in them, the program keeps those that it has. */
    private void reload(Path file, Running<S> running) {
        try {
            running.reload(load.apply(file));
            LOG.log(RuntimeEvent.RELOADED, name);
        } catch (SettingsException exception) {
            LOG.log(RuntimeEvent.RELOAD_FAILED, name, exception.faults());
        } catch (RuntimeException exception) {
            LOG.log(RuntimeEvent.RELOAD_FAILED, name, exception);
        }
    }

    private void printHelp(CmdLineParser parser, PrintStream out) {
        out.println("usage: " + name + " --settings FILE");
        parser.printUsage(out);
        out.println("exit codes: 0 stopped gracefully, 1 failed, 2 wrong command line or settings");
    }

    private void stopOnShutdown(Running<S> running) {
        Thread hook = Thread.ofPlatform().name("stop").unstarted(() -> stop(running));
        Runtime.getRuntime().addShutdownHook(hook);
    }

    private void stop(Running<S> running) {
        LOG.log(RuntimeEvent.STOPPING, name);
        ExitCode code = ExitCode.SUCCESS;
        try {
            running.stop();
            LOG.log(RuntimeEvent.STOPPED, name);
        } catch (RuntimeException exception) {
            LOG.log(RuntimeEvent.STOP_FAILED, name, exception);
            code = ExitCode.FAILURE;
        }
        LogOutput.flush();
        Runtime.getRuntime().halt(code.number());
    }

    /**
     * A program that runs.
     *
     * @param <S> the type of the settings
     */
    @FunctionalInterface
    public interface Running<S> {
        /** Stops gracefully and returns when everything has ended. */
        void stop();

        /**
         * Takes settings that were read again; what cannot change while the program runs is ignored.
         *
         * @param settings the checked settings, not null
         */
        default void reload(S settings) {}
    }

    /**
     * Receives a program that runs.
     *
     * @param <S> the type of the settings
     */
    @FunctionalInterface
    interface Started<S> {
        /**
         * The program runs.
         *
         * @param running the program, not null
         */
        void accept(Running<S> running);
    }
}
