package org.nettlering.wire.transport;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.proto.MembershipProto.ListMembers;
import org.nettlering.wire.proto.MembershipProto.MembershipRequest;

/**
 * Asks the group for its members from time to time and makes them known to a gateway.
 *
 * <p>The members of the settings may all be gone by the time at which the leader changes; a process that has asked before
 * then still finds the new one. Thread-safe.
 */
public final class MemberRefresh implements AutoCloseable {
    private static final Duration INTERVAL = Duration.ofSeconds(3);

    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private static final Frame REQUEST = Frame.newBuilder()
            .setMembershipRequest(MembershipRequest.newBuilder().setList(ListMembers.getDefaultInstance()))
            .build();

    private final LeaderControlGateway gateway;

    private final TimeSource time;

    private volatile TimeSource.@Nullable Timer timer;

    private volatile boolean closed;

    /**
     * Starts asking.
     *
     * @param gateway the gateway, not null
     * @param time sets the timers, not null
     * @return the running requests, never null
     */
    public static MemberRefresh start(LeaderControlGateway gateway, TimeSource time) {
        MemberRefresh refresh = new MemberRefresh(gateway, time);
        refresh.scheduleNext();
        return refresh;
    }

    private MemberRefresh(LeaderControlGateway gateway, TimeSource time) {
        this.gateway = gateway;
        this.time = time;
    }

    private void scheduleNext() {
        if (!closed) {
            timer = time.schedule(INTERVAL, this::refresh);
        }
    }

    private void refresh() {
        gateway.callLeader(REQUEST, true, TIMEOUT).whenComplete((response, failure) -> {
            try {
                if (response != null) {
                    gateway.replaceLearned(addresses(response));
                }
            } finally {
                scheduleNext();
            }
        });
    }

    private static Map<String, String> addresses(Frame response) {
        Map<String, String> addresses = new LinkedHashMap<>();
        response.getMembershipResponse()
                .getMembersList()
                .forEach(member -> addresses.put(member.getMemberId(), member.getAddress()));
        return addresses;
    }

    /** Ends the requests. */
    @Override
    public void close() {
        closed = true;
        TimeSource.Timer pending = timer;
        if (pending != null) {
            pending.cancel();
        }
    }
}
