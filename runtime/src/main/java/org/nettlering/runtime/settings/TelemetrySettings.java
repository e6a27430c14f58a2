package org.nettlering.runtime.settings;

import java.util.Locale;

/**
 * Where spans go: the section {@code [telemetry]} of every settings file.
 *
 * <p>Immutable and thread-safe.
 *
 * @param exporter the kind of exporter, not null
 * @param endpoint the URL of the collector, empty unless the exporter is {@code otlp}, not null
 */
public record TelemetrySettings(Exporter exporter, String endpoint) {
    /** The settings without any exporter. */
    public static final TelemetrySettings NONE = new TelemetrySettings(Exporter.NONE, "");

    private static final String SECTION = "telemetry";

    /** The kinds of exporter. */
    public enum Exporter {
        /** Spans are not recorded; trace context is passed on. */
        NONE,
        /** Each span is a log event. */
        LOG,
        /** Spans go to an OpenTelemetry collector. */
        OTLP
    }

    /**
     * Reads the section.
     *
     * @param reader the reader of the file, which collects the faults, not null
     * @return the settings, never null
     */
    public static TelemetrySettings read(SettingsReader reader) {
        String name = reader.text(SECTION, "exporter", "none");
        String endpoint = reader.text(SECTION, "endpoint", "");
        for (Exporter exporter : Exporter.values()) {
            if (exporter.name().toLowerCase(Locale.ROOT).equals(name)) {
                return checked(reader, new TelemetrySettings(exporter, endpoint));
            }
        }
        reader.fault(SECTION, "exporter", "\"" + name + "\" is none of none, log, otlp");
        return NONE;
    }

    private static TelemetrySettings checked(SettingsReader reader, TelemetrySettings settings) {
        if (settings.exporter() == Exporter.OTLP && !settings.endpoint().startsWith("http")) {
            reader.fault(SECTION, "endpoint", "must be the collector's URL when the exporter is otlp");
        }
        return settings;
    }
}
