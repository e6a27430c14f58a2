package org.nettlering.control.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import org.nettlering.control.workflow.WorkflowOptions;
import org.nettlering.domain.workflow.host.HostTimings;
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
 * @param members the members that are known at the start, by id, not null
 * @param advertised where entries and other processes reach members that they don't reach at their own addresses, by id, not
 *     null
 * @param groupStart what the process may do when its data folder is empty, not null
 * @param hostLimits the times that hosts keep to, not null
 * @param workflowOptions what the site has switched on for jobs of steps, not null
 * @param telemetry where spans go, not null
 */
public record ControlSettings(
        ClusterIdentity identity,
        InetSocketAddress peersAddress,
        InetSocketAddress metricsAddress,
        Path dataFolder,
        Map<String, ControlMember> members,
        Map<String, InetSocketAddress> advertised,
        GroupStart groupStart,
        HostTimings hostLimits,
        WorkflowOptions workflowOptions,
        TelemetrySettings telemetry) {
    private static final String MEMBERS = "members";

    private static final String ADVERTISED = "advertised";

    private static final String GROUP = "group";

    private static final int DEFAULT_TOLERATED_LOSSES = 1;

    /** A group of as many voters as this needs, twice as many and one, would be slow to agree. */
    private static final int MAX_TOLERATED_LOSSES = 4;

    private static final String JOBS = "jobs";

    private static final String HOSTS = "hosts";

    /** The failure domain of a member that the settings tell only the address of. */
    private static final String UNTOLD_DOMAIN = "untold";

    private static final int MEMBER_PARTS = 2;

    /** Copies the members in their order. */
    public ControlSettings {
        members = Collections.unmodifiableMap(new LinkedHashMap<>(members));
        advertised = Map.copyOf(advertised);
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
        ControlSettings settings = read(reader);
        reader.finish();
        return settings;
    }

    /**
     * Reads the settings from a file that holds others as well.
     *
     * @param reader the open file; the caller ends the reading, not null
     * @return the settings, with placeholders where the reader noted a fault, never null
     */
    public static ControlSettings read(SettingsReader reader) {
        InetSocketAddress peersAddress = reader.address("listen", "peers");
        boolean seeded = reader.hasSection(GROUP);
        return new ControlSettings(
                new ClusterIdentity(
                        reader.text("cluster", "id"),
                        reader.text("process", "id"),
                        reader.text("process", "failure_domain")),
                peersAddress,
                reader.address("listen", "metrics"),
                Path.of(reader.text("storage", "data_folder")),
                seeded ? seeds(reader, peersAddress.getPort()) : members(reader),
                advertised(reader),
                seeded ? seededStart(reader) : new GroupStart(true, false, DEFAULT_TOLERATED_LOSSES),
                hostLimits(reader),
                new WorkflowOptions(
                        reader.flag(JOBS, "reject_infeasible", false),
                        reader.flag(JOBS, "copy_stragglers", false),
                        reader.size(JOBS, "memory_bytes", WorkflowOptions.defaultMaxJobBytes())),
                TelemetrySettings.read(reader));
    }

    private static GroupStart seededStart(SettingsReader reader) {
        return new GroupStart(reader.flag(GROUP, "found", false), true, toleratedLosses(reader));
    }

    private static int toleratedLosses(SettingsReader reader) {
        String text = reader.text(GROUP, "tolerated_losses", String.valueOf(DEFAULT_TOLERATED_LOSSES))
                .strip();
        if (text.isEmpty()) {
            return DEFAULT_TOLERATED_LOSSES;
        }
        if (!text.matches("[0-" + MAX_TOLERATED_LOSSES + "]")) {
            reader.fault(
                    GROUP, "tolerated_losses", "\"" + text + "\" is no whole number from 0 to " + MAX_TOLERATED_LOSSES);
            return DEFAULT_TOLERATED_LOSSES;
        }
        return Integer.parseInt(text);
    }

    /** Reads members of which only addresses are told: each is named after its IP and listens for peers on our port. */
    private static Map<String, ControlMember> seeds(SettingsReader reader, int peersPort) {
        Map<String, ControlMember> members = new LinkedHashMap<>();
        for (String text : reader.text(GROUP, "seeds").split(",", -1)) {
            InetSocketAddress seed = reader.parseAddress(GROUP, "seeds", text.strip());
            String id = seed.getHostString();
            members.put(id, new ControlMember(id, new InetSocketAddress(id, peersPort), UNTOLD_DOMAIN));
        }
        return members;
    }

    /** Reads where members are reached through a relay or a translated address. */
    private static Map<String, InetSocketAddress> advertised(SettingsReader reader) {
        Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
        if (reader.hasSection(ADVERTISED)) {
            reader.entries(ADVERTISED)
                    .forEach((id, text) -> addresses.put(id, reader.parseAddress(ADVERTISED, id, text)));
        }
        return addresses;
    }

    private static HostTimings hostLimits(SettingsReader reader) {
        Duration longest = reader.millis(HOSTS, "longest_lease_millis", Duration.ofSeconds(6));
        Duration lease = reader.millis(HOSTS, "lease_millis", Duration.ofSeconds(5));
        return new HostTimings(
                lease.compareTo(longest) > 0 ? longest : lease,
                longest,
                reader.millis(HOSTS, "stop_grace_millis", Duration.ofSeconds(1)));
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
