package org.nettlering.project;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class MetricsPageTest {
    private static final Path PAGE = Path.of("..", "docs", "operations", "metrics.md");

    private static final Path SOURCES = Path.of("..");

    private static final Pattern NAME_IN_CODE = Pattern.compile("\"((?:nettlering|jvm|process)_[a-z_]+)\"");

    private static final Pattern ROW =
            Pattern.compile("(?m)^\\| `([a-z_]+)` \\| [^|]*\\S[^|]* \\| [^|]*\\| [^|]*\\S[^|]* \\|$");

    @Test
    void everyMetricOfTheCodeStandsOnThePageWithItsUnitAndNoOtherDoes() throws IOException {
        Set<String> code = new TreeSet<>();
        try (Stream<Path> files = Files.walk(SOURCES)) {
            files.filter(MetricsPageTest::isSource).forEach(file -> code.addAll(found(NAME_IN_CODE, read(file))));
        }
        assertThat(code).hasSizeGreaterThan(20);
        assertThat(found(ROW, read(PAGE))).containsExactlyInAnyOrderElementsOf(code);
    }

    private static boolean isSource(Path file) {
        String path = file.toString().replace('\\', '/');
        return path.endsWith(".java") && path.contains("/src/main/java/") && !path.contains("/target/");
    }

    private static Set<String> found(Pattern pattern, String text) {
        Set<String> names = new TreeSet<>();
        pattern.matcher(text).results().forEach(match -> names.add(match.group(1)));
        return names;
    }

    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
