package org.nettlering.standins.site;

/**
 * Where one entry process runs.
 *
 * @param id the name of the entry
 * @param failureDomain its failure domain
 * @param callers the address for callers
 * @param platform the address for upstreams and workers
 * @param operators the address for operators
 * @param peers the address for the system's own processes
 */
public record EntryHost(
        String id, String failureDomain, String callers, String platform, String operators, String peers) {}
