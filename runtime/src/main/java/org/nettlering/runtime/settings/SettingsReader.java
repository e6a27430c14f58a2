package org.nettlering.runtime.settings;

import java.io.IOException;
import java.io.Reader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.jspecify.annotations.Nullable;

/**
 * Reads one settings file and collects its faults.
 *
 * <p>Each reading method notes a fault and returns a placeholder when the value is missing or malformed, so that the caller
 * can read on; {@link #finish()} then reports all faults, unknown sections and keys among them:
 *
 * <pre>{@code
 * SettingsReader reader = SettingsReader.open(file);
 * InetSocketAddress address = reader.address("listen", "peers");
 * reader.finish();
 * }</pre>
 *
 * <p>Not thread-safe.
 */
public final class SettingsReader {
    private static final String PLACEHOLDER = "?";

    private static final InetSocketAddress PLACEHOLDER_ADDRESS = InetSocketAddress.createUnresolved("0.0.0.0", 0);

    /** The file, as it appears in faults. */
    private final Path file;

    /** The values by section and key, each key with all its values. */
    private final Map<String, Map<String, List<String>>> sections;

    /** The faults so far. */
    private final List<String> faults = new ArrayList<>();

    /** The sections that were asked for. */
    private final Set<String> knownSections = new HashSet<>();

    /** The sections and keys that were asked for, as {@code section/key}. */
    private final Set<String> knownKeys = new HashSet<>();

    /** The sections in which any key is allowed. */
    private final Set<String> openSections = new HashSet<>();

    /**
     * Opens a settings file.
     *
     * @param file the file, not null
     * @return a new reader, never null
     * @throws SettingsException if the file cannot be read
     */
    public static SettingsReader open(Path file) {
        INIConfiguration configuration = new INIConfiguration();
        try (Reader reader = Files.newBufferedReader(file, StandardCharsets.UTF_8)) {
            configuration.read(reader);
        } catch (IOException | ConfigurationException exception) {
            throw new SettingsException(List.of(file + ": cannot be read: " + exception));
        }
        return new SettingsReader(file, configuration);
    }

    private SettingsReader(Path file, INIConfiguration configuration) {
        this.file = file;
        sections = new LinkedHashMap<>();
        for (String section : configuration.getSections()) {
            sections.put(section == null ? "" : section, valuesOf(configuration, section));
        }
    }

    private static Map<String, List<String>> valuesOf(INIConfiguration configuration, @Nullable String section) {
        Map<String, List<String>> values = new LinkedHashMap<>();
        Iterator<String> keys = configuration.getSection(section).getKeys();
        while (keys.hasNext()) {
            String key = keys.next();
            Object value = configuration.getSection(section).getProperty(key);
            values.put(key.replace("..", "."), texts(value));
        }
        return values;
    }

    private static List<String> texts(@Nullable Object value) {
        if (value instanceof Collection<?> several) {
            return several.stream().map(String::valueOf).toList();
        }
        return List.of(value == null ? "" : value.toString());
    }

    /**
     * Reads a value that must be there.
     *
     * @param section the section, not null
     * @param key the key, not null
     * @return the value, or a placeholder if it is missing or blank, never null
     */
    public String text(String section, String key) {
        String value = single(section, key);
        if (value == null || value.isBlank()) {
            fault(section, key, value == null ? "is missing" : "is blank");
            return PLACEHOLDER;
        }
        return value.strip();
    }

    /**
     * Reads a value that may be absent.
     *
     * @param section the section, not null
     * @param key the key, not null
     * @param fallback the value when it is absent, not null
     * @return the value, never null
     */
    public String text(String section, String key, String fallback) {
        String value = single(section, key);
        return value == null ? fallback : value.strip();
    }

    /**
     * Reads an address that must be there.
     *
     * @param section the section, not null
     * @param key the key, not null
     * @return the address, or a placeholder, never null
     */
    public InetSocketAddress address(String section, String key) {
        String value = single(section, key);
        if (value == null) {
            fault(section, key, "is missing");
            return PLACEHOLDER_ADDRESS;
        }
        return parseAddress(section, key, value);
    }

    /**
     * Parses an address found in a value of several parts.
     *
     * @param section the section, for the fault, not null
     * @param key the key, for the fault, not null
     * @param text the text, not null
     * @return the address, or a placeholder, never null
     */
    public InetSocketAddress parseAddress(String section, String key, String text) {
        InetSocketAddress address = Addresses.parseOrNull(text);
        if (address == null) {
            fault(section, key, "\"" + text + "\" is no address; write IP:PORT, such as 10.0.0.1:7000");
            return PLACEHOLDER_ADDRESS;
        }
        return address;
    }

    /**
     * Reads a whole number that may be absent.
     *
     * @param section the section, not null
     * @param key the key, not null
     * @param fallback the value when it is absent
     * @return the number, at least 1, or the fallback if it is malformed
     */
    public long size(String section, String key, long fallback) {
        String value = single(section, key);
        if (value == null) {
            return fallback;
        }
        Long number = parseNumber(value.strip());
        if (number == null || number < 1) {
            fault(section, key, "\"" + value + "\" is no whole number of at least 1");
            return fallback;
        }
        return number;
    }

    /**
     * Reads a duration in milliseconds that may be absent.
     *
     * @param section the section, not null
     * @param key the key, not null
     * @param fallback the value when it is absent, not null
     * @return the duration, at least 1 ms, never null
     */
    public Duration millis(String section, String key, Duration fallback) {
        return Duration.ofMillis(size(section, key, fallback.toMillis()));
    }

    /**
     * Reads a switch that may be absent.
     *
     * @param section the section, not null
     * @param key the key, not null
     * @param fallback the value when it is absent
     * @return true for {@code true}, false for {@code false}, the fallback if it is neither
     */
    public boolean flag(String section, String key, boolean fallback) {
        String value = single(section, key);
        if (value == null) {
            return fallback;
        }
        String text = value.strip();
        if (!text.equals("true") && !text.equals("false")) {
            fault(section, key, "\"" + value + "\" is neither true nor false");
            return fallback;
        }
        return text.equals("true");
    }

    /**
     * Tells whether the file has a section.
     *
     * @param section the section, not null
     * @return true if it has
     */
    public boolean hasSection(String section) {
        return sections.containsKey(section);
    }

    /**
     * Reads a section whose keys are ids.
     *
     * @param section the section, not null
     * @return the values by id, in the order of the file, never null
     */
    public Map<String, String> entries(String section) {
        knownSections.add(section);
        openSections.add(section);
        Map<String, String> entries = new LinkedHashMap<>();
        sections.getOrDefault(section, Map.of()).forEach((key, values) -> {
            if (values.size() > 1) {
                fault(section, key, "stands " + values.size() + " times");
            }
            entries.put(key, values.getFirst().strip());
        });
        return entries;
    }

    /**
     * Notes a fault of a key.
     *
     * @param section the section, not null
     * @param key the key, not null
     * @param problem what is wrong, such as {@code is missing}, not null
     */
    public void fault(String section, String key, String problem) {
        faults.add(file + ": [" + section + "] " + key + ": " + problem);
    }

    /**
     * Notes a fault of a section.
     *
     * @param section the section, not null
     * @param problem what is wrong, not null
     */
    public void fault(String section, String problem) {
        faults.add(file + ": [" + section + "]: " + problem);
    }

    /**
     * Ends the reading.
     *
     * @throws SettingsException if there are faults; it names all of them
     */
    public void finish() {
        sections.forEach(this::checkKnown);
        if (!faults.isEmpty()) {
            throw new SettingsException(faults);
        }
    }

    private void checkKnown(String section, Map<String, List<String>> values) {
        if (section.isEmpty()) {
            values.keySet().forEach(key -> faults.add(file + ": " + key + ": stands outside of any section"));
            return;
        }
        if (!knownSections.contains(section)) {
            fault(section, "the section is unknown");
            return;
        }
        if (openSections.contains(section)) {
            return;
        }
        values.keySet().stream()
                .filter(key -> !knownKeys.contains(section + "/" + key))
                .forEach(key -> fault(section, key, "the key is unknown"));
    }

    private @Nullable String single(String section, String key) {
        knownSections.add(section);
        knownKeys.add(section + "/" + key);
        List<String> values = sections.getOrDefault(section, Map.of()).getOrDefault(key, List.of());
        if (values.size() > 1) {
            fault(section, key, "stands " + values.size() + " times");
        }
        return values.isEmpty() ? null : values.getFirst();
    }

    private static @Nullable Long parseNumber(String text) {
        try {
            return Long.valueOf(text);
        } catch (NumberFormatException exception) {
            return null;
        }
    }
}
