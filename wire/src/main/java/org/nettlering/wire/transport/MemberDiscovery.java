package org.nettlering.wire.transport;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.proto.MembershipProto.ListMembers;
import org.nettlering.wire.proto.MembershipProto.MembershipRequest;

/**
 * Keeps a gateway informed of the members of the control group.
 *
 * <p>Hosts that are replaced get new ids, and settings name only the members of one time. A gateway that knew these and the
 * leader alone would find no other member once they are gone. Thread-safe.
 */
public final class MemberDiscovery implements AutoCloseable {
    /** How often the leader is asked; a member gets its vote no faster than some seconds after it was started. */
    static final Duration INTERVAL = Duration.ofSeconds(3);

    private static final Duration TIMEOUT = Duration.ofSeconds(2);

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
     * @param gateway the gateway to ask through and to inform, not null
     * @param time sets the timers, not null
     * @return the running discovery, never null
     */
    public static MemberDiscovery start(LeaderControlGateway gateway, TimeSource time) {
        MemberDiscovery discovery = new MemberDiscovery(gateway, time);
        discovery.scheduleNext();
        return discovery;
    }

    private MemberDiscovery(LeaderControlGateway gateway, TimeSource time) {
        this.gateway = gateway;
        this.time = time;
    }

    private void scheduleNext() {
        if (!closed) {
            timer = time.schedule(INTERVAL, this::ask);
        }
    }

    private void ask() {
        call().whenComplete((response, failure) -> {
            try {
                if (response != null) {
                    learn(response);
                }
            } finally {
                scheduleNext();
            }
        });
    }

    private CompletionStage<Frame> call() {
        try {
            return gateway.callLeader(REQUEST, true, TIMEOUT);
        } catch (RuntimeException exception) {
            return CompletableFuture.failedFuture(exception);
        }
    }

    private void learn(Frame response) {
        Map<String, String> addresses = new LinkedHashMap<>();
        response.getMembershipResponse()
                .getMembersList()
                .forEach(member -> addresses.put(member.getMemberId(), member.getAddress()));
        if (!addresses.isEmpty()) {
            gateway.setPresentMembers(addresses);
        }
    }

    /** Ends the questions. */
    @Override
    public void close() {
        closed = true;
        TimeSource.Timer pending = timer;
        if (pending != null) {
            pending.cancel();
        }
    }
}
