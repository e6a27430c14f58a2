package org.nettlering.standins.site;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** Writes the settings files of a demonstration's processes. */
final class SettingsFiles {
    private static final String CLUSTER = "demo";

    private SettingsFiles() {}

    static Path writeControl(Path folder, ControlHost host, List<ControlHost> members, Map<String, String> advertised) {
        StringBuilder text = new StringBuilder(process(host.id(), host.failureDomain()));
        text.append("\n[listen]\npeers = ").append(host.peers());
        text.append("\nmetrics = ").append(host.metrics());
        text.append("\n\n[storage]\ndata_folder = ").append(host.dataFolder());
        text.append("\n\n[members]\n");
        for (ControlHost member : members) {
            text.append(member.id()).append(" = ").append(member.peers());
            text.append(' ').append(member.failureDomain()).append('\n');
        }
        if (!advertised.isEmpty()) {
            text.append("\n[advertised]\n");
            advertised.forEach((id, address) ->
                    text.append(id).append(" = ").append(address).append('\n'));
        }
        return write(folder.resolve(host.id() + ".ini"), text.toString());
    }

    static Path writeEntry(Path folder, EntryHost host, List<ControlHost> members, List<EntryHost> entries) {
        StringBuilder text = new StringBuilder(process(host.id(), host.failureDomain()));
        text.append("\n[listen]\ncallers = ").append(host.callers());
        text.append("\nplatform = ").append(host.platform());
        text.append("\noperators = ").append(host.operators());
        text.append("\npeers = ").append(host.peers());
        text.append("\n\n[control]\n");
        members.forEach(member ->
                text.append(member.id()).append(" = ").append(member.peers()).append('\n'));
        text.append("\n[entries]\n");
        entries.forEach(entry ->
                text.append(entry.id()).append(" = ").append(entry.peers()).append('\n'));
        return write(folder.resolve(host.id() + ".ini"), text.toString());
    }

    private static String process(String id, String failureDomain) {
        return "[cluster]\nid = " + CLUSTER + "\n\n[process]\nid = " + id + "\nfailure_domain = " + failureDomain
                + "\n";
    }

    private static Path write(Path path, String text) {
        try {
            return Files.writeString(path, text);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
