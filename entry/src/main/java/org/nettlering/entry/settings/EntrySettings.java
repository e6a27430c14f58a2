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
 * <p>Read and validated from an INI file; conf/ holds samples. Immutable and thread-safe.
 *
 * @param identity the cluster, process id and failure domain of this process, not null
 * @param callersAddress the address that accepts requests of callers, not null
 * @param platformAddress the address that accepts announcements of upstreams and reports of workers, not null
 * @param operatorsAddress the address that accepts requests of operators, not null
 * @param peersAddress the address that accepts connections of other entries, not null
 * @param controlAddresses the addresses of the control members by id, not null
 * @param otherEntryAddresses the addresses of the other entries by id, without this entry, not null
 * @param limits the limits on input and shutdown, not null
 * @param telemetry the export of spans, not null
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

    /** Copies the addresses and keeps their order. */
    public EntrySettings {
        controlAddresses = Collections.unmodifiableMap(new LinkedHashMap<>(controlAddresses));
        otherEntryAddresses = Collections.unmodifiableMap(new LinkedHashMap<>(otherEntryAddresses));
    }

    /**
     * Reads and validates the settings.
     *
     * @param file the settings file, not null
     * @return the settings, never null
     * @throws org.nettlering.runtime.settings.SettingsException if the file is invalid; it lists every fault
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
