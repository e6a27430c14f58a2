package org.nettlering.entry.gossip;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.wire.codec.AnnouncementCodec;
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.proto.RequestProto;
import org.nettlering.wire.proto.RequestProto.GossipRequest;
import org.nettlering.wire.proto.RequestProto.GossipResponse;
import org.nettlering.wire.transport.Peer;

/** What this entry knows of one peer, and the one question to it that may be under way. Thread-safe. */
final class PeerGossip {
    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    /** The id of the peer. */
    private final String id;

    /** The connection to it. */
    private final Peer peer;

    /** The clock. */
    private final TimeSource time;

    /** What is done with responses. */
    private final Receiver receiver;

    /** True while a question is under way. */
    private final AtomicBoolean asking = new AtomicBoolean();

    /** The incarnation of the peer at its last response. */
    private volatile long incarnation;

    /** The version of the peer's directory at its last response. */
    private volatile long version;

    /** The number of the last grant that was seen. */
    private volatile long lastGrant;

    /** When the question was sent that the peer answered last; null before the first answer. */
    private volatile @Nullable Long heardNanos;

    PeerGossip(String id, Peer peer, TimeSource time, Receiver receiver) {
        this.id = id;
        this.peer = peer;
        this.time = time;
        this.receiver = receiver;
    }

    String id() {
        return id;
    }

    /** Tells whether the peer answered a question that was sent less than a duration ago. */
    boolean isHeardWithin(Duration duration) {
        Long heard = heardNanos;
        return heard != null && time.nanoTime() - heard < duration.toNanos();
    }

    /** Asks the peer, unless a question is under way; returns whether it was asked. */
    boolean ask(GossipRequest.Builder request) {
        if (!asking.compareAndSet(false, true)) {
            return false;
        }
        long sentNanos = time.nanoTime();
        request.setKnownIncarnation(incarnation).setKnownVersion(version).setLastGrant(lastGrant);
        Frame frame = Frame.newBuilder().setGossipRequest(request).build();
        peer.call(frame, TIMEOUT).whenComplete((response, error) -> {
            if (error == null && response.hasGossipResponse()) {
                take(response.getGossipResponse(), sentNanos);
            }
            asking.set(false);
            receiver.answered(this, error == null);
        });
        return true;
    }

    private void take(GossipResponse response, long sentNanos) {
        Duration transit = Duration.ofNanos(time.nanoTime() - sentNanos);
        for (RequestProto.AgedAnnouncement message : response.getAnnouncementsList()) {
            try {
                receiver.announced(AnnouncementCodec.toAged(message, transit));
            } catch (NettleringException exception) {
                receiver.malformed(id, exception);
            }
        }
        incarnation = response.getIncarnation();
        version = response.getVersion();
        lastGrant = response.getGrant();
        heardNanos = sentNanos;
        receiver.counted(this, response);
    }

    /** Receives what a peer said. */
    interface Receiver {
        /** The peer passed an announcement on. */
        void announced(org.nettlering.domain.upstream.AgedAnnouncement aged);

        /** The peer told its counts and grants. */
        void counted(PeerGossip peer, GossipResponse response);

        /** The peer passed on an announcement that is malformed. */
        void malformed(String peer, NettleringException exception);

        /** A question is no longer under way. */
        void answered(PeerGossip peer, boolean successful);
    }
}
