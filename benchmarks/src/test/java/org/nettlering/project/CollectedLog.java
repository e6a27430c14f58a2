package org.nettlering.project;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.nettlering.control.workflow.WorkflowEvent;
import org.nettlering.runtime.log.EventLogger;
import org.slf4j.helpers.MessageFormatter;

/** Log lines made of the patterns of the code, and what a script prints for them. */
final class CollectedLog {
    private final Path folder;

    private final List<String> lines = new ArrayList<>();

    CollectedLog(Path folder) {
        this.folder = folder;
    }

    void add(long millis, WorkflowEvent event, Object... arguments) {
        addWithFields(millis, event, Map.of(), arguments);
    }

    void addWithFields(long millis, WorkflowEvent event, Map<String, Object> fields, Object... arguments) {
        String message =
                MessageFormatter.arrayFormat(event.pattern(), arguments).getMessage();
        String pairs = Stream.concat(
                        Stream.of("{\"event\":\"" + EventLogger.code(event) + "\"}"),
                        fields.entrySet().stream()
                                .map(pair -> "{\"" + pair.getKey() + "\":\"" + pair.getValue() + "\"}"))
                .collect(Collectors.joining(","));
        lines.add("{\"timestamp\":" + millis + ",\"level\":\"" + event.level() + "\",\"kvpList\": [" + pairs
                + "],\"formattedMessage\":\"" + message + "\",\"throwable\":null}");
    }

    /** Returns the lines that a script prints for this log. */
    List<String> print(String script, String... arguments) throws IOException, InterruptedException {
        Path log = Files.write(folder.resolve("log"), lines);
        List<String> command =
                new ArrayList<>(List.of("bash", Path.of("..", "scripts", script).toString()));
        command.addAll(List.of(arguments));
        command.add(log.toString());
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertThat(process.waitFor()).as(output).isZero();
        return output.lines().toList();
    }
}
