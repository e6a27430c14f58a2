package org.nettlering.wire.transport;

import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/**
 * Who a process is: its cluster, its own id and the failure domain of its host.
 *
 * <p>Sent in the handshake of every connection. Immutable and thread-safe.
 *
 * @param clusterId the id that all processes of one cluster share, not blank
 * @param processId the id of this process, unique in the cluster, not blank
 * @param failureDomain the failure domain of the host, not blank
 */
public record ClusterIdentity(String clusterId, String processId, String failureDomain) {
    /**
     * Creates an identity.
     *
     * @throws NettleringException with {@code INVALID_ARGUMENT} if a part is blank
     */
    public ClusterIdentity {
        requireText(clusterId, "cluster id");
        requireText(processId, "process id");
        requireText(failureDomain, "failure domain");
    }

    private static void requireText(String value, String name) {
        if (value.isBlank()) {
            throw new NettleringException(ErrorCode.INVALID_ARGUMENT, "the " + name + " is blank");
        }
    }
}
