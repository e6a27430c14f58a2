package org.nettlering.wire.codec;

import java.time.Duration;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.upstream.AgedAnnouncement;
import org.nettlering.domain.upstream.UpstreamAddress;
import org.nettlering.domain.upstream.UpstreamAnnouncement;
import org.nettlering.domain.upstream.UpstreamState;
import org.nettlering.wire.proto.RequestProto;
import org.nettlering.wire.proto.RequestProto.Announcement;

/** Converts announcements of upstreams between messages and domain values. Thread-safe. */
public final class AnnouncementCodec {
    private AnnouncementCodec() {}

    /**
     * Reads an announcement.
     *
     * @param message the message, not null
     * @return the announcement, never null
     * @throws NettleringException {@code INVALID_ARGUMENT} if a value is wrong
     */
    public static UpstreamAnnouncement toAnnouncement(Announcement message) {
        return new UpstreamAnnouncement(
                message.getService(),
                message.getInstance(),
                UpstreamAddress.parse(message.getAddress()),
                message.getSlots(),
                message.getConnections(),
                message.getFailureDomain(),
                toState(message),
                message.getIncarnation(),
                message.getSequence());
    }

    /**
     * Writes an announcement.
     *
     * @param announcement the announcement, not null
     * @return the message, never null
     */
    public static Announcement toMessage(UpstreamAnnouncement announcement) {
        return Announcement.newBuilder()
                .setService(announcement.service())
                .setInstance(announcement.instance())
                .setAddress(announcement.address().toString())
                .setSlots(announcement.slots())
                .setConnections(announcement.connections())
                .setFailureDomain(announcement.failureDomain())
                .setState(toMessage(announcement.state()))
                .setIncarnation(announcement.incarnation())
                .setSequence(announcement.sequence())
                .build();
    }

    /**
     * Reads an announcement and its age.
     *
     * @param message the message, not null
     * @param transit the time that the message may have been on its way, not null
     * @return the announcement with an upper bound of its age, never null
     * @throws NettleringException {@code INVALID_ARGUMENT} if a value is wrong
     */
    public static AgedAnnouncement toAged(RequestProto.AgedAnnouncement message, Duration transit) {
        Duration age = Duration.ofMillis(Integer.toUnsignedLong(message.getAgeMillis()))
                .plus(transit);
        return new AgedAnnouncement(toAnnouncement(message.getAnnouncement()), age);
    }

    /**
     * Writes an announcement and its age, rounded up.
     *
     * @param aged the announcement and its age, not null
     * @return the message, never null
     */
    public static RequestProto.AgedAnnouncement toMessage(AgedAnnouncement aged) {
        return RequestProto.AgedAnnouncement.newBuilder()
                .setAnnouncement(toMessage(aged.announcement()))
                .setAgeMillis(Math.toIntExact(aged.age().toMillis() + 1))
                .build();
    }

    private static UpstreamState toState(Announcement message) {
        return switch (message.getState()) {
            case SERVING -> UpstreamState.SERVING;
            case LEAVING -> UpstreamState.LEAVING;
            case UPSTREAM_STATE_UNSPECIFIED, UNRECOGNIZED ->
                throw new NettleringException(
                        ErrorCode.INVALID_ARGUMENT, "announcement refused: state is neither SERVING nor LEAVING");
        };
    }

    private static RequestProto.UpstreamState toMessage(UpstreamState state) {
        return switch (state) {
            case SERVING -> RequestProto.UpstreamState.SERVING;
            case LEAVING -> RequestProto.UpstreamState.LEAVING;
        };
    }
}
