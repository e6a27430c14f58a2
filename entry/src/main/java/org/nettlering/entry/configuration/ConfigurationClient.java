package org.nettlering.entry.configuration;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.configuration.RevisionRecord;
import org.nettlering.domain.configuration.SiteConfiguration;
import org.nettlering.domain.time.TimeMark;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.entry.EntryEvent;
import org.nettlering.entry.lifecycle.Readiness;
import org.nettlering.runtime.log.EventLogger;
import org.nettlering.wire.codec.ConfigurationCodec;
import org.nettlering.wire.proto.ConfigurationProto;
import org.nettlering.wire.proto.ConfigurationProto.ConfigurationRequest;
import org.nettlering.wire.proto.ConfigurationProto.ConfigurationUpdate;
import org.nettlering.wire.proto.ConfigurationProto.FetchConfiguration;
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.transport.ControlGateway;

/**
 * Keeps a local copy of the replicated configuration.
 *
 * <p>Polls the control leader every {@link #POLL_INTERVAL}. The copy is fresh if a poll that was sent less than {@link
 * #FRESHNESS_PERIOD} ago confirmed it:
 *
 * <ul>
 *   <li>A response of the leader confirms the copy.
 *   <li>If no leader responds, a majority of the members that have applied no later revision confirms a copy that a
 *       leader has confirmed before.
 * </ul>
 *
 * <p>The revision never decreases. Thread-safe.
 */
public final class ConfigurationClient implements Readiness.Condition {
    /** The delay between a response and the next poll. */
    public static final Duration POLL_INTERVAL = Duration.ofMillis(500);

    /** How long a poll keeps the copy fresh, from when its request was sent. */
    public static final Duration FRESHNESS_PERIOD = Duration.ofSeconds(3);

    private static final Duration LEADER_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration MEMBER_TIMEOUT = Duration.ofMillis(500);
    private static final EventLogger LOGGER = EventLogger.of(ConfigurationClient.class);

    private final ControlGateway gateway;
    private final TimeSource time;

    /** Called with each new revision, outside the lock. */
    private final Consumer<SiteConfiguration> listener;

    /** Guards writes to {@link #current} and {@link #confirmedAt}. */
    private final ReentrantLock lock = new ReentrantLock();

    /** The applied configuration. */
    private volatile SiteConfiguration current = SiteConfiguration.empty();

    /** When the last request that confirmed the copy was sent; null before the first confirmation. */
    private volatile @Nullable TimeMark confirmedAt;

    /** The freshness that was last logged. */
    private final AtomicBoolean loggedFresh = new AtomicBoolean();

    /** Whether the client polls. */
    private volatile boolean running;

    /**
     * Creates a client that is not started.
     *
     * @param gateway the connections to the control members, not null
     * @param time the clock, not null
     * @param listener called with each new revision, not null
     * @return a new client, never null
     */
    public static ConfigurationClient of(
            ControlGateway gateway, TimeSource time, Consumer<SiteConfiguration> listener) {
        return new ConfigurationClient(gateway, time, listener);
    }

    private ConfigurationClient(ControlGateway gateway, TimeSource time, Consumer<SiteConfiguration> listener) {
        this.gateway = gateway;
        this.time = time;
        this.listener = listener;
    }

    /**
     * Returns the local copy.
     *
     * @return the configuration, with revision zero before the first response, never null
     */
    public SiteConfiguration current() {
        return current;
    }

    /**
     * Returns whether the copy was confirmed within {@link #FRESHNESS_PERIOD}.
     *
     * @return true if the copy is fresh
     */
    public boolean isFresh() {
        TimeMark confirmed = confirmedAt;
        return confirmed != null && confirmed.isWithin(FRESHNESS_PERIOD, time);
    }

    @Override
    public @Nullable String unmetReason() {
        return isFresh() ? null : "configuration not confirmed by the control members";
    }

    /** Starts polling. */
    public void start() {
        running = true;
        poll();
    }

    /** Stops polling. */
    public void stop() {
        running = false;
    }

    private void poll() {
        if (!running) {
            return;
        }
        pollLeader()
                .thenCompose(responded -> responded ? done() : pollMembers())
                .whenComplete((nothing, error) -> {
                    if (error != null) {
                        LOGGER.log(EntryEvent.PERIODIC_TASK_FAILED, error);
                    }
                    scheduleNext();
                });
    }

    /** Polls the leader; the stage tells whether it responded, and fails if the response cannot be applied. */
    private CompletionStage<Boolean> pollLeader() {
        TimeMark sentAt = TimeMark.now(time);
        return done().thenCompose(nothing -> gateway.callLeader(createFetchRequest(false), true, LEADER_TIMEOUT))
                .handle((response, error) -> {
                    if (error != null || !response.hasConfigurationResponse()) {
                        return false;
                    }
                    applyAndConfirm(response.getConfigurationResponse().getUpdate(), sentAt);
                    return true;
                });
    }

    private CompletionStage<Void> pollMembers() {
        if (confirmedAt == null) {
            return done();
        }
        TimeMark sentAt = TimeMark.now(time);
        List<CompletionStage<Frame>> responses = gateway.callEveryMember(createFetchRequest(true), MEMBER_TIMEOUT);
        MajorityRead majorityRead = new MajorityRead(responses.size() / 2 + 1, sentAt);
        CompletableFuture<?>[] handledResponses = responses.stream()
                .map(stage -> stage.handle((response, error) -> majorityRead.handleResponse(response, error))
                        .toCompletableFuture())
                .toArray(CompletableFuture<?>[]::new);
        return CompletableFuture.allOf(handledResponses);
    }

    private static CompletionStage<Void> done() {
        return CompletableFuture.completedFuture(null);
    }

    private void scheduleNext() {
        logFreshnessChange();
        time.schedule(POLL_INTERVAL, this::poll);
    }

    private Frame createFetchRequest(boolean local) {
        FetchConfiguration fetch = FetchConfiguration.newBuilder()
                .setKnownRevision(current.revision())
                .setLocal(local)
                .build();
        return Frame.newBuilder()
                .setConfigurationRequest(ConfigurationRequest.newBuilder().setFetch(fetch))
                .build();
    }

    /** Applies an update and confirms the copy, unless the update is older than the copy or leaves a gap. */
    private void applyAndConfirm(ConfigurationUpdate update, TimeMark sentAt) {
        SiteConfiguration applied = null;
        lock.lock();
        try {
            SiteConfiguration previous = current;
            if (update.getRevision() < previous.revision()) {
                LOGGER.log(EntryEvent.LOWER_REVISION_REJECTED, update.getRevision(), previous.revision());
                return;
            }
            SiteConfiguration updated = merge(previous, update);
            if (updated.revision() < update.getRevision()) {
                return;
            }
            current = updated;
            TimeMark confirmed = confirmedAt;
            if (confirmed == null || sentAt.isAfter(confirmed)) {
                confirmedAt = sentAt;
            }
            applied = updated.revision() == previous.revision() ? null : updated;
        } finally {
            lock.unlock();
        }
        if (applied != null) {
            LOGGER.log(EntryEvent.CONFIGURATION_APPLIED, applied.revision());
            listener.accept(applied);
        }
    }

    private static SiteConfiguration merge(SiteConfiguration previous, ConfigurationUpdate update) {
        if (update.hasFull()) {
            SiteConfiguration full = ConfigurationCodec.toConfiguration(update.getFull());
            return full.revision() > previous.revision() ? full : previous;
        }
        SiteConfiguration merged = previous;
        for (ConfigurationProto.RevisionRecord message : update.getDifferencesList()) {
            RevisionRecord record = ConfigurationCodec.toRecord(message);
            if (record.revision() == merged.revision() + 1) {
                merged = merged.withChanges(record.changes());
            }
        }
        return merged;
    }

    /** Logs a change of the freshness once. */
    private void logFreshnessChange() {
        boolean fresh = isFresh();
        if (loggedFresh.getAndSet(fresh) == fresh) {
            return;
        }
        if (fresh) {
            LOGGER.log(EntryEvent.CONFIGURATION_FRESH, current.revision());
        } else {
            LOGGER.log(
                    EntryEvent.CONFIGURATION_STALE,
                    current.revision(),
                    "neither a leader nor a majority of the members responded");
        }
    }

    /** Counts the members whose response confirms the local copy. */
    private final class MajorityRead {
        /** The number of members that form a majority. */
        private final int majority;

        private final TimeMark sentAt;

        /** The number of members that have applied no later revision than the local copy. */
        private final AtomicInteger confirmingMembers = new AtomicInteger();

        MajorityRead(int majority, TimeMark sentAt) {
            this.majority = majority;
            this.sentAt = sentAt;
        }

        boolean handleResponse(@Nullable Frame response, @Nullable Throwable error) {
            if (error != null || response == null || !response.hasConfigurationResponse()) {
                return false;
            }
            ConfigurationUpdate update = response.getConfigurationResponse().getUpdate();
            if (update.getRevision() > current.revision()) {
                ConfigurationClient.this.applyUnconfirmed(update);
            }
            if (update.getRevision() > current.revision()) {
                return false;
            }
            if (confirmingMembers.incrementAndGet() == majority) {
                confirm(sentAt);
            }
            return true;
        }
    }

    /** Applies a later revision of a member without extending the freshness of the copy. */
    private void applyUnconfirmed(ConfigurationUpdate update) {
        TimeMark confirmed = confirmedAt;
        if (confirmed != null) {
            applyAndConfirm(update, confirmed);
        }
    }

    private void confirm(TimeMark sentAt) {
        lock.lock();
        try {
            TimeMark confirmed = confirmedAt;
            if (confirmed != null && sentAt.isAfter(confirmed)) {
                confirmedAt = sentAt;
            }
        } finally {
            lock.unlock();
        }
    }
}
