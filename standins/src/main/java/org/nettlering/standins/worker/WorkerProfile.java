package org.nettlering.standins.worker;

import org.nettlering.wire.proto.TaskProto.Resources;

/**
 * What a worker stand-in is.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id its name
 * @param incarnation a number that is higher after each start
 * @param capacity what it offers to tasks
 * @param rack its rack
 * @param failureDomain its failure domain
 * @param idleMilliwatts what it draws without tasks
 */
public record WorkerProfile(
        String id, long incarnation, Resources capacity, String rack, String failureDomain, long idleMilliwatts) {}
