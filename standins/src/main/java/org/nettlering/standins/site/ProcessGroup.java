package org.nettlering.standins.site;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * The processes of one demonstration.
 *
 * <p>Every process runs the class path of this one. Closing the group, or ending this process, leaves none behind.
 * Thread-safe.
 */
final class ProcessGroup implements AutoCloseable {
    private static final Duration STOP_LIMIT = Duration.ofSeconds(5);

    /** Where the output of the processes goes. */
    private final Path folder;

    /** The processes that were started, in order. */
    private final List<ManagedProcess> processes = new CopyOnWriteArrayList<>();

    /** Kills the processes when this one is interrupted. */
    private final Thread hook = new Thread(this::killAll, "kill-processes");

    static ProcessGroup create(Path folder) {
        ProcessGroup group = new ProcessGroup(folder);
        Runtime.getRuntime().addShutdownHook(group.hook);
        return group;
    }

    private ProcessGroup(Path folder) {
        this.folder = folder;
    }

    /** Starts a program. */
    ManagedProcess start(String name, Program program, List<String> arguments) {
        Path log = folder.resolve(name + ".log");
        ProcessBuilder builder = new ProcessBuilder(program.commandLine(arguments))
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        try {
            ManagedProcess process = new ManagedProcess(name, builder.start(), log);
            processes.add(process);
            return process;
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /** Kills whatever still runs. */
    @Override
    public void close() {
        killAll();
        try {
            Runtime.getRuntime().removeShutdownHook(hook);
        } catch (IllegalStateException stopping) {
            return;
        }
    }

    private void killAll() {
        processes.forEach(process -> process.process().destroyForcibly());
        processes.forEach(process -> process.awaitExit(STOP_LIMIT));
    }
}
