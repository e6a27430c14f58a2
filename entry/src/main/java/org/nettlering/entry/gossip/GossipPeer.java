package org.nettlering.entry.gossip;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.time.TimeMark;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.wire.codec.AnnouncementCodec;
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.proto.RequestProto;
import org.nettlering.wire.proto.RequestProto.GossipRequest;
import org.nettlering.wire.proto.RequestProto.GossipResponse;
import org.nettlering.wire.transport.Peer;

/** The gossip state of one peer entry. At most one request to the peer is in flight. Thread-safe. */
final class GossipPeer {
    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private final String id;
    private final Peer connection;
    private final TimeSource time;
    private final ResponseListener listener;
    private final AtomicBoolean requestInFlight = new AtomicBoolean();

    /** The incarnation of the peer in its last response. */
    private volatile long peerIncarnation;

    /** The directory version of the peer in its last response; the peer sends only later changes. */
    private volatile long directoryVersion;

    /** The number of the last slot grant that was received. */
    private volatile long lastGrantNumber;

    /** When the last request with a response was sent; null before the first response. */
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

    /** Returns whether the peer responded to a request that was sent less than {@code duration} ago. */
    boolean hasRespondedWithin(Duration duration) {
        Long requestNanos = lastSuccessfulRequestNanos;
        return requestNanos != null && time.nanoTime() - requestNanos < duration.toNanos();
    }

    /**
     * Sends a request unless one is in flight; returns whether it was sent.
     *
     * @param onCompleted called when the request has completed, with or without a response
     */
    boolean trySend(GossipRequest.Builder request, Runnable onCompleted) {
        if (!requestInFlight.compareAndSet(false, true)) {
            return false;
        }
        TimeMark sentAt = TimeMark.now(time);
        long sentNanos = time.nanoTime();
        request.setKnownIncarnation(peerIncarnation)
                .setKnownVersion(directoryVersion)
                .setLastGrant(lastGrantNumber);
        call(Frame.newBuilder().setGossipRequest(request).build()).whenComplete((response, error) -> {
            try {
                if (error == null && response.hasGossipResponse()) {
                    handleResponse(response.getGossipResponse(), sentAt, sentNanos);
                }
            } catch (RuntimeException exception) {
                listener.onResponseFailed(id, exception);
            } finally {
                requestInFlight.set(false);
                onCompleted.run();
            }
        });
        return true;
    }

    /** Calls the peer; an exception becomes a failed call. */
    private CompletionStage<Frame> call(Frame request) {
        try {
            return connection.call(request, TIMEOUT);
        } catch (RuntimeException exception) {
            return CompletableFuture.failedFuture(exception);
        }
    }

    private void handleResponse(GossipResponse response, TimeMark sentAt, long sentNanos) {
        Duration roundTrip = sentAt.elapsed(time);
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

    /** Processes the responses of a peer. */
    interface ResponseListener {
        /** Processes an announcement that the peer received from an upstream. */
        void onAnnouncement(org.nettlering.domain.upstream.AgedAnnouncement aged);

        /** Processes the loads and granted slots of a response. */
        void onResponse(GossipPeer peer, GossipResponse response);

        /** Processes a malformed announcement. */
        void onMalformedAnnouncement(String peerId, NettleringException exception);

        /** Called when the response of a peer could not be processed to its end. */
        void onResponseFailed(String peerId, RuntimeException exception);
    }
}
