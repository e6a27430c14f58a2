package org.nettlering.wire.transport;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;
import org.nettlering.wire.proto.FrameProto.Frame;

/**
 * The control members, as an entry sees them.
 *
 * <p>Implementations are thread-safe.
 */
public interface ControlGateway {
    /**
     * Sends a request to the leader, following redirections.
     *
     * <p>Tries again only while the request certainly had no effect, or when the caller says that it may be repeated.
     * Fails with {@code NO_LEADER} when no leader took the request before the timeout, and with {@code OUTCOME_UNKNOWN}
     * when a leader may have taken it.
     *
     * @param request the frame, not null
     * @param repeatable true when running the request twice does no harm
     * @param timeout the limit for all attempts together, not null
     * @return the response, never null
     */
    CompletionStage<Frame> callLeader(Frame request, boolean repeatable, Duration timeout);

    /**
     * Sends a request to every member.
     *
     * @param request the frame, not null
     * @param timeout the limit for each response, not null
     * @return one stage a member, failed ones included, never null
     */
    List<CompletionStage<Frame>> callEveryMember(Frame request, Duration timeout);
}
