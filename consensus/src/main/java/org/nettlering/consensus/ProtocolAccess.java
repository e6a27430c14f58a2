package org.nettlering.consensus;

import java.util.function.Consumer;
import org.nettlering.consensus.protocol.MemberProtocol;

/** How the executors of a member reach its protocol. */
interface ProtocolAccess {
    /**
     * Runs a step of the protocol under the lock of the member, then the resulting actions outside it.
     *
     * @param step the step, which must not block, not null
     * @return false if the member is not running, or has stopped because the step failed
     */
    boolean run(Consumer<MemberProtocol> step);

    /**
     * Stops the member for good.
     *
     * @param failure why, not null
     */
    void stop(Throwable failure);
}
