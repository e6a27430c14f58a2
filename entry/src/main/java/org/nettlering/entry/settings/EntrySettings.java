package org.nettlering.entry.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import org.nettlering.runtime.settings.SettingsReader;
import org.nettlering.runtime.settings.TelemetrySettings;
import org.nettlering.wire.transport.ClusterIdentity;

/**
 * The settings of an entry process.
 *
 * <p>Read from an INI file and checked as a whole; conf/ holds samples. Immutable and thread-safe.
 *
 * @param identity who this process is, not null
 * @param callersAddress where it takes callers' requests, not null
 * @param platformAddress where it takes announcements and workers' reports, not null
 * @param operatorsAddress where it takes operators' requests, not null
 * @param peersAddress where it listens for other entries, not null
 * @param control the addresses of the control members, by id, not null
 * @param entries the addresses of the other entries, by id, without this one, not null
 * @param limits bounds of what it takes from outside, not null
 * @param telemetry where spans go, not null
 */
public record EntrySettings(
        ClusterIdentity identity,
        InetSocketAddress callersAddress,
        InetSocketAddress platformAddress,
        InetSocketAddress operatorsAddress,
        InetSocketAddress peersAddress,
        Map<String, InetSocketAddress> control,
        Map<String, InetSocketAddress> entries,
        EntryLimits limits,
        TelemetrySettings telemetry) {
    private static final String CONTROL = "control";

    private static final String ENTRIES = "entries";

    private static final String LISTEN = "listen";

    /** Copies the addresses in their order. */
    public EntrySettings {
        control = Collections.unmodifiableMap(new LinkedHashMap<>(control));
        entries = Collections.unmodifiableMap(new LinkedHashMap<>(entries));
    }

    /**
     * Reads the settings.
     *
     * @param file the file, not null
     * @return the settings, never null
     * @throws org.nettlering.runtime.settings.SettingsException if anything is wrong; it names every fault
     */
    public static EntrySettings load(Path file) {
        SettingsReader reader = SettingsReader.open(file);
        ClusterIdentity identity = new ClusterIdentity(
                reader.text("cluster", "id"), reader.text("process", "id"), reader.text("process", "failure_domain"));
        Map<String, InetSocketAddress> control = addresses(reader, CONTROL);
        if (control.isEmpty()) {
            reader.fault(CONTROL, "names no control member");
        }
        Map<String, InetSocketAddress> entries = addresses(reader, ENTRIES);
        entries.remove(identity.processId());
        EntrySettings settings = new EntrySettings(
                identity,
                reader.address(LISTEN, "callers"),
                reader.address(LISTEN, "platform"),
                reader.address(LISTEN, "operators"),
                reader.address(LISTEN, "peers"),
                control,
                entries,
                EntryLimits.read(reader),
                TelemetrySettings.read(reader));
        reader.finish();
        return settings;
    }

    private static Map<String, InetSocketAddress> addresses(SettingsReader reader, String section) {
        Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
        Map<InetSocketAddress, String> owners = new LinkedHashMap<>();
        reader.entries(section).forEach((id, value) -> {
            InetSocketAddress address = reader.parseAddress(section, id, value);
            String owner = owners.putIfAbsent(address, id);
            if (owner != null && !address.isUnresolved()) {
                reader.fault(section, id, "has the address of \"" + owner + "\"");
            }
            addresses.put(id, address);
        });
        return addresses;
    }
}
