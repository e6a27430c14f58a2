package org.nettlering.runtime.program;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.runtime.settings.SettingsException;

class DaemonTest {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    private final List<Daemon.Running<String>> running = new ArrayList<>();

    @Test
    void aProgramWithGoodSettingsRuns() {
        ExitCode code = run(file -> "settings", settings -> () -> {}, "--settings", "good.ini");

        assertThat(code).isEqualTo(ExitCode.SUCCESS);
        assertThat(running).hasSize(1);
    }

    @Test
    void everyFaultOfTheSettingsIsOneLineAndNothingStarts() {
        ExitCode code = run(
                file -> {
                    throw new SettingsException(List.of("bad.ini: [a] b: is missing", "bad.ini: [c]: is unknown"));
                },
                settings -> () -> {},
                "--settings",
                "bad.ini");

        assertThat(code.number()).isEqualTo(2);
        assertThat(err.toString(StandardCharsets.UTF_8).lines())
                .containsExactly(
                        "test: invalid-settings: bad.ini: [a] b: is missing",
                        "test: invalid-settings: bad.ini: [c]: is unknown");
        assertThat(running).isEmpty();
    }

    @Test
    void checkingStartsNothing() {
        assertThat(run(file -> "settings", settings -> () -> {}, "--settings", "good.ini", "--check"))
                .isEqualTo(ExitCode.SUCCESS);
        assertThat(running).isEmpty();
    }

    @Test
    void anUnknownOptionAndAMissingFileAreUsageErrors() {
        assertThat(run(file -> "settings", settings -> () -> {}, "--nonsense").number())
                .isEqualTo(2);
        assertThat(run(file -> "settings", settings -> () -> {}).number()).isEqualTo(2);
        assertThat(err.toString(StandardCharsets.UTF_8)).contains("--nonsense").contains("--settings");
    }

    @Test
    void helpNamesTheOptionsAndExitCodes() {
        assertThat(run(file -> "settings", settings -> () -> {}, "--help")).isEqualTo(ExitCode.SUCCESS);
        assertThat(out.toString(StandardCharsets.UTF_8))
                .contains("--settings FILE")
                .contains("exit codes");
    }

    @Test
    void aStartThatFailsSaysItsCode() {
        ExitCode code = run(
                file -> "settings",
                settings -> {
                    throw new NettleringException(ErrorCode.STORAGE_LOCKED, "folder \"data\" is in use");
                },
                "--settings",
                "good.ini");

        assertThat(code.number()).isEqualTo(1);
        assertThat(err.toString(StandardCharsets.UTF_8)).contains("storage-locked: folder \"data\" is in use");
    }

    private ExitCode run(
            java.util.function.Function<java.nio.file.Path, String> load,
            java.util.function.Function<String, Daemon.Running<String>> start,
            String... arguments) {
        return Daemon.of("test", load, start)
                .run(
                        arguments,
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        new PrintStream(err, true, StandardCharsets.UTF_8),
                        running::add);
    }
}
