package org.nettlering.standins.site;

import java.nio.file.Path;

/**
 * Where one control process runs.
 *
 * @param id the member id
 * @param failureDomain its failure domain
 * @param peers the address for the system's own processes
 * @param metrics the address for metrics
 * @param dataFolder its data folder
 */
public record ControlHost(String id, String failureDomain, String peers, String metrics, Path dataFolder) {
    /** Returns a copy that is reached at another address. */
    ControlHost withPeers(String newPeers) {
        return new ControlHost(id, failureDomain, newPeers, metrics, dataFolder);
    }
}
