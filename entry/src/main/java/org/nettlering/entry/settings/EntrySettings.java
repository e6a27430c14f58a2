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
 * @param controlAddresses the addresses of the control members, by id, not null
 * @param otherEntryAddresses the addresses of the other entries, by id, without this one, not null
 * @param limits bounds of what it takes from outside, not null
 * @param telemetry where spans go, not null
 */
public record EntrySettings(
        ClusterIdentity identity,
        InetSocketAddress callersAddress,
        InetSocketAddress platformAddress,
        InetSocketAddress operatorsAddress,
        InetSocketAddress peersAddress,
        Map<String, InetSocketAddress> controlAddresses,
        Map<String, InetSocketAddress> otherEntryAddresses,
        EntryLimits limits,
        TelemetrySettings telemetry) {
    private static final String CONTROL_SECTION = "control";

    private static final String ENTRIES_SECTION = "entries";

    private static final String LISTEN_SECTION = "listen";

    /** Copies the addresses in their order. */
    public EntrySettings {
        controlAddresses = Collections.unmodifiableMap(new LinkedHashMap<>(controlAddresses));
        otherEntryAddresses = Collections.unmodifiableMap(new LinkedHashMap<>(otherEntryAddresses));
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
        Map<String, InetSocketAddress> control = readAddresses(reader, CONTROL_SECTION);
        if (control.isEmpty()) {
            reader.fault(CONTROL_SECTION, "names no control member");
        }
        Map<String, InetSocketAddress> entries = readAddresses(reader, ENTRIES_SECTION);
        entries.remove(identity.processId());
        EntrySettings settings = new EntrySettings(
                identity,
                reader.address(LISTEN_SECTION, "callers"),
                reader.address(LISTEN_SECTION, "platform"),
                reader.address(LISTEN_SECTION, "operators"),
                reader.address(LISTEN_SECTION, "peers"),
                control,
                entries,
                EntryLimits.read(reader),
                TelemetrySettings.read(reader));
        reader.finish();
        return settings;
    }

    private static Map<String, InetSocketAddress> readAddresses(SettingsReader reader, String section) {
        Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
        Map<InetSocketAddress, String> idsByAddress = new LinkedHashMap<>();
        reader.entries(section).forEach((id, value) -> {
            InetSocketAddress address = reader.parseAddress(section, id, value);
            String existingId = idsByAddress.putIfAbsent(address, id);
            if (existingId != null && !address.isUnresolved()) {
                reader.fault(section, id, "has the address of \"" + existingId + "\"");
            }
            addresses.put(id, address);
        });
        return addresses;
    }
}
