package org.nettlering.control.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import org.nettlering.runtime.settings.SettingsReader;
import org.nettlering.runtime.settings.TelemetrySettings;
import org.nettlering.wire.transport.ClusterIdentity;

/**
 * The settings of a control process.
 *
 * <p>Read from an INI file and checked as a whole; conf/ holds samples. Immutable and thread-safe.
 *
 * @param identity who this process is, not null
 * @param peersAddress where it listens for the other processes, not null
 * @param metricsAddress where it serves metrics, not null
 * @param dataFolder the folder that holds everything that must last, not null
 * @param members the members with which the cluster starts, by id, not null
 * @param telemetry where spans go, not null
 */
public record ControlSettings(
        ClusterIdentity identity,
        InetSocketAddress peersAddress,
        InetSocketAddress metricsAddress,
        Path dataFolder,
        Map<String, ControlMember> members,
        TelemetrySettings telemetry) {
    private static final String MEMBERS = "members";

    private static final int MEMBER_PARTS = 2;

    /** Copies the members in their order. */
    public ControlSettings {
        members = Collections.unmodifiableMap(new LinkedHashMap<>(members));
    }

    /**
     * Reads the settings.
     *
     * @param file the file, not null
     * @return the settings, never null
     * @throws org.nettlering.runtime.settings.SettingsException if anything is wrong; it names every fault
     */
    public static ControlSettings load(Path file) {
        SettingsReader reader = SettingsReader.open(file);
        ControlSettings settings = new ControlSettings(
                new ClusterIdentity(
                        reader.text("cluster", "id"),
                        reader.text("process", "id"),
                        reader.text("process", "failure_domain")),
                reader.address("listen", "peers"),
                reader.address("listen", "metrics"),
                Path.of(reader.text("storage", "data_folder")),
                members(reader),
                TelemetrySettings.read(reader));
        reader.finish();
        return settings;
    }

    private static Map<String, ControlMember> members(SettingsReader reader) {
        Map<String, ControlMember> members = new LinkedHashMap<>();
        Map<InetSocketAddress, String> owners = new LinkedHashMap<>();
        reader.entries(MEMBERS).forEach((id, value) -> {
            String[] parts = value.split("\\s+", -1);
            if (parts.length != MEMBER_PARTS) {
                reader.fault(MEMBERS, id, "\"" + value + "\" is not of the form IP:PORT FAILURE_DOMAIN");
                return;
            }
            InetSocketAddress address = reader.parseAddress(MEMBERS, id, parts[0]);
            String owner = owners.putIfAbsent(address, id);
            if (owner != null && !address.isUnresolved()) {
                reader.fault(MEMBERS, id, "has the address of member \"" + owner + "\"");
            }
            members.put(id, new ControlMember(id, address, parts[1]));
        });
        if (members.isEmpty()) {
            reader.fault(MEMBERS, "names no member");
        }
        return members;
    }
}
