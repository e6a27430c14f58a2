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
final class GossipPeer {
    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    /** The id of the peer. */
    private final String id;

    /** The connection to it. */
    private final Peer connection;

    /** The clock. */
    private final TimeSource time;

    /** What is done with responses. */
    private final ResponseListener listener;

    /** True while a question is under way. */
    private final AtomicBoolean requestInFlight = new AtomicBoolean();

    /** The incarnation of the peer at its last response. */
    private volatile long peerIncarnation;

    /** The version of the peer's directory at its last response. */
    private volatile long directoryVersion;

    /** The number of the last grant that was seen. */
    private volatile long lastGrantNumber;

    /** When the question was sent that the peer answered last; null before the first answer. */
    private volatile @Nullable Long lastSuccessfulRequestNanos;

    GossipPeer(String id, Peer connection, TimeSource time, ResponseListener listener) {
        this.id = id;
        this.connection = connection;
        this.time = time;
        this.listener = listener;
    }

    String id() {
        return id;
    }

    /** Tells whether the peer answered a question that was sent less than a duration ago. */
    boolean hasRespondedWithin(Duration duration) {
        Long requestNanos = lastSuccessfulRequestNanos;
        return requestNanos != null && time.nanoTime() - requestNanos < duration.toNanos();
    }

    /** Asks the peer, unless a question is under way; returns whether it was asked. */
    boolean trySend(GossipRequest.Builder request) {
        if (!requestInFlight.compareAndSet(false, true)) {
            return false;
        }
        long sentNanos = time.nanoTime();
        request.setKnownIncarnation(peerIncarnation)
                .setKnownVersion(directoryVersion)
                .setLastGrant(lastGrantNumber);
        Frame frame = Frame.newBuilder().setGossipRequest(request).build();
        connection.call(frame, TIMEOUT).whenComplete((response, error) -> {
            if (error == null && response.hasGossipResponse()) {
                handleResponse(response.getGossipResponse(), sentNanos);
            }
            requestInFlight.set(false);
            listener.onRequestCompleted(this, error == null);
        });
        return true;
    }

    private void handleResponse(GossipResponse response, long sentNanos) {
        Duration roundTrip = Duration.ofNanos(time.nanoTime() - sentNanos);
        for (RequestProto.AgedAnnouncement message : response.getAnnouncementsList()) {
            try {
                listener.onAnnouncement(AnnouncementCodec.toAged(message, roundTrip));
            } catch (NettleringException exception) {
                listener.onMalformedAnnouncement(id, exception);
            }
        }
        peerIncarnation = response.getIncarnation();
        directoryVersion = response.getVersion();
        lastGrantNumber = response.getGrant();
        lastSuccessfulRequestNanos = sentNanos;
        listener.onResponse(this, response);
    }

    /** Receives what a peer said. */
    interface ResponseListener {
        /** The peer passed an announcement on. */
        void onAnnouncement(org.nettlering.domain.upstream.AgedAnnouncement aged);

        /** The peer told its counts and grants. */
        void onResponse(GossipPeer connection, GossipResponse response);

        /** The peer passed on an announcement that is malformed. */
        void onMalformedAnnouncement(String connection, NettleringException exception);

        /** A question is no longer under way. */
        void onRequestCompleted(GossipPeer connection, boolean successful);
    }
}
