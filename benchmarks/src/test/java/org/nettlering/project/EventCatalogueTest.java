package org.nettlering.project;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.nettlering.runtime.log.EventLogger;
import org.nettlering.runtime.log.LogEvent;

class EventCatalogueTest {
    private static final Path CATALOGUE = Path.of("..", "docs", "EVENTS.md");

    private static final Pattern ROW =
            Pattern.compile("\\| (NTL-\\d{4}) \\| (\\w+) \\| `([^|]*)` \\| ([^|]*) \\| ([^|]*) \\|");

    private static final Map<String, String> RANGES = Map.of(
            "runtime",
            "NTL-1",
            "wire",
            "NTL-2",
            "control",
            "NTL-3 NTL-4",
            "entry",
            "NTL-5",
            "operator",
            "NTL-6",
            "standins",
            "NTL-7",
            "platform",
            "NTL-8");

    private final List<LogEvent> events =
            CompiledClass.all().stream().flatMap(EventCatalogueTest::eventsOf).toList();

    private final Map<String, Matcher> rows = rows();

    @Test
    void everyEventOfTheCodeStandsInTheCatalogueAsItIsLogged() {
        assertThat(events).isNotEmpty();
        assertThat(events).allSatisfy(event -> {
            String code = EventLogger.code(event);
            assertThat(rows).as(event.toString()).containsKey(code);
            assertThat(rows.get(code)).as(code).satisfies(row -> {
                assertThat(row.group(2)).isEqualTo(event.level().toString());
                assertThat(row.group(3)).isEqualTo(event.pattern());
            });
        });
    }

    @Test
    void everyRowOfTheCatalogueIsAnEventOfTheCode() {
        assertThat(rows.keySet())
                .allSatisfy(code -> assertThat(events)
                        .as(code)
                        .anyMatch(event -> EventLogger.code(event).equals(code)));
    }

    @Test
    void everyRowTellsTheCauseAndWhatToDo() {
        assertThat(rows.values()).allSatisfy(row -> {
            assertThat(row.group(4)).as(row.group(1)).isNotBlank();
            assertThat(row.group(5)).as(row.group(1)).isNotBlank();
        });
    }

    @Test
    void noTwoEventsShareANumberAndEachIsInTheRangeOfItsModule() {
        assertThat(events).extracting(LogEvent::number).doesNotHaveDuplicates();
        assertThat(events).allSatisfy(event -> {
            String module = CompiledClass.moduleOf(event.getClass().getName().replace('.', '/'));
            assertThat(RANGES.getOrDefault(module, "").split(" ", -1))
                    .as(EventLogger.code(event) + " of " + module)
                    .anyMatch(prefix -> EventLogger.code(event).startsWith(prefix));
        });
    }

    private static Stream<LogEvent> eventsOf(CompiledClass compiled) {
        try {
            Class<?> type = Class.forName(compiled.name().replace('/', '.'), false, loader());
            if (!type.isEnum() || !LogEvent.class.isAssignableFrom(type)) {
                return Stream.empty();
            }
            return Stream.of(type.getEnumConstants()).map(LogEvent.class::cast);
        } catch (ClassNotFoundException exception) {
            throw new IllegalStateException(exception);
        }
    }

    private static ClassLoader loader() {
        return EventCatalogueTest.class.getClassLoader();
    }

    private static Map<String, Matcher> rows() {
        Map<String, Matcher> rows = new TreeMap<>();
        try {
            for (String line : Files.readAllLines(CATALOGUE)) {
                if (!line.startsWith("| NTL-")) {
                    continue;
                }
                Matcher row = ROW.matcher(line);
                assertThat(row.matches()).as("the form of the row: " + line).isTrue();
                assertThat(rows.put(row.group(1), row))
                        .as("second row of " + row.group(1))
                        .isNull();
            }
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
        return rows;
    }
}
