package org.nettlering.standins.site;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Starts the programs as processes of their own, since the exit code is what an operator sees. */
class BadSettingsTest {
    private static final String BAD = """
            [cluster]
            id = site
            [process]
            id = c1
            [listen]
            peers = nowhere
            metrics = 127.0.0.1:0
            [members]
            c1 = 127.0.0.1:7100 fd-1
            c1 = 127.0.0.1:7101 fd-1
            [limits]
            replay_bytes = -1
            """;

    @TempDir
    private Path folder = Path.of("");

    @Test
    @Timeout(120)
    void aControlProcessWithBadSettingsNamesEveryFaultAndExitsWithTwo() throws Exception {
        Ended ended = run("org.nettlering.control.ControlMain");

        assertThat(ended.code()).isEqualTo(2);
        assertThat(ended.errors())
                .allMatch(line -> line.startsWith("nettlering-control: invalid-settings: " + folder))
                .anyMatch(line -> line.contains("[process] failure_domain: is missing"))
                .anyMatch(line -> line.contains("[listen] peers: \"nowhere\" is no address"))
                .anyMatch(line -> line.contains("[storage] data_folder: is missing"))
                .anyMatch(line -> line.contains("[members] c1: stands 2 times"))
                .anyMatch(line -> line.contains("[limits]: the section is unknown"))
                .hasSize(5);
    }

    @Test
    @Timeout(120)
    void anEntryWithBadSettingsNamesEveryFaultAndExitsWithTwo() throws Exception {
        Ended ended = run("org.nettlering.entry.EntryMain");

        assertThat(ended.code()).isEqualTo(2);
        assertThat(ended.errors())
                .allMatch(line -> line.startsWith("nettlering-entry: invalid-settings: " + folder))
                .anyMatch(line -> line.contains("[listen] callers: is missing"))
                .anyMatch(line -> line.contains("[listen] metrics: the key is unknown"))
                .anyMatch(line -> line.contains("[control]: names no control member"))
                .anyMatch(line -> line.contains("[limits] replay_bytes: \"-1\" is no whole number"))
                .anyMatch(line -> line.contains("[members]: the section is unknown"))
                .hasSize(9);
    }

    private Ended run(String mainClass) throws IOException, InterruptedException {
        Path settings = folder.resolve("bad.ini");
        Path errors = folder.resolve("errors.txt");
        Files.writeString(settings, BAD);
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx64m",
                        "-cp",
                        System.getProperty("java.class.path"),
                        mainClass,
                        "--settings",
                        settings.toString())
                .redirectError(errors.toFile())
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
        int code = process.waitFor();
        return new Ended(code, Files.readAllLines(errors, StandardCharsets.UTF_8));
    }

    private record Ended(int code, List<String> errors) {}
}
