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
 * Follows the replicated configuration.
 *
 * <p>Asks the leader every {@link #POLL_INTERVAL}; the copy here is fresh for {@link #FRESHNESS_PERIOD} after a question was sent
 * that the leader answered. When no leader answers, a majority of the members that has applied no later revision keeps a
 * copy fresh that once came from a leader. The revision never goes down. Thread-safe.
 */
public final class ConfigurationClient implements Readiness.Condition {
    /** How long after an answer the next question is sent. */
    public static final Duration POLL_INTERVAL = Duration.ofMillis(500);

    /** How long an answer keeps the copy fresh, counted from its question. */
    public static final Duration FRESHNESS_PERIOD = Duration.ofSeconds(3);

    private static final Duration LEADER_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration MEMBER_TIMEOUT = Duration.ofMillis(500);
    private static final EventLogger LOGGER = EventLogger.of(ConfigurationClient.class);

    /** The control members. */
    private final ControlGateway gateway;

    /** The clock. */
    private final TimeSource time;

    /** Told of each new revision, outside the lock. */
    private final Consumer<SiteConfiguration> listener;

    /** Guards the changes of the fields below. */
    private final ReentrantLock lock = new ReentrantLock();

    /** The copy in force. */
    private volatile SiteConfiguration current = SiteConfiguration.empty();

    /** When the question was sent that last confirmed the copy; null before the first one. */
    private volatile @Nullable Long confirmedNanos;

    /** Whether the log says last that the copy is fresh. */
    private final AtomicBoolean loggedFresh = new AtomicBoolean();

    /** True while the client polls. */
    private volatile boolean running;

    /**
     * Creates a client that does not poll yet.
     *
     * @param gateway the control members, not null
     * @param time the clock, not null
     * @param listener told of each new revision, not null
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
     * Returns the copy in force.
     *
     * @return the configuration, of revision zero before the first answer, never null
     */
    public SiteConfiguration current() {
        return current;
    }

    /**
     * Tells whether the copy is known to be fresh.
     *
     * @return true when it may be used
     */
    public boolean isFresh() {
        Long confirmed = confirmedNanos;
        return confirmed != null && time.nanoTime() - confirmed < FRESHNESS_PERIOD.toNanos();
    }

    @Override
    public @Nullable String unmetReason() {
        return isFresh() ? null : "configuration not confirmed by the control members";
    }

    /** Starts to poll. */
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
        long sentNanos = time.nanoTime();
        gateway.callLeader(createFetchRequest(false), true, LEADER_TIMEOUT).whenComplete((response, error) -> {
            if (error == null && response.hasConfigurationResponse()) {
                applyAndConfirm(response.getConfigurationResponse().getUpdate(), sentNanos);
                scheduleNext();
                return;
            }
            pollMembers();
        });
    }

    private void pollMembers() {
        if (confirmedNanos == null) {
            scheduleNext();
            return;
        }
        long sentNanos = time.nanoTime();
        List<CompletionStage<Frame>> responses = gateway.callEveryMember(createFetchRequest(true), MEMBER_TIMEOUT);
        MajorityRead majorityRead = new MajorityRead(responses.size() / 2 + 1, sentNanos);
        CompletableFuture<?>[] handledResponses = responses.stream()
                .map(stage -> stage.handle((response, error) -> majorityRead.handleResponse(response, error))
                        .toCompletableFuture())
                .toArray(CompletableFuture<?>[]::new);
        CompletableFuture<Void> all = CompletableFuture.allOf(handledResponses);
        var _ = all.whenComplete((nothing, error) -> scheduleNext());
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

    /** Takes an update and confirms the copy, unless the update is older than the copy. */
    private void applyAndConfirm(ConfigurationUpdate update, long sentNanos) {
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
            Long confirmed = confirmedNanos;
            if (confirmed == null || sentNanos - confirmed > 0) {
                confirmedNanos = sentNanos;
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
                merged = merged.plusChanges(record.changes());
            }
        }
        return merged;
    }

    /** Logs once when the copy is no longer confirmed, and once when it is again. */
    private void logFreshnessChange() {
        boolean fresh = isFresh();
        if (loggedFresh.getAndSet(fresh) == fresh) {
            return;
        }
        if (fresh) {
            LOGGER.log(EntryEvent.CONFIGURATION_FRESH, current.revision());
        } else {
            LOGGER.log(EntryEvent.CONFIGURATION_STALE, current.revision(), "no leader and no majority answered");
        }
    }

    /** Counts the members that answered a local question. */
    private final class MajorityRead {
        /** How many members are a majority. */
        private final int majority;

        /** When the question was sent. */
        private final long sentNanos;

        /** How many members have applied no later revision than the copy here. */
        private final AtomicInteger confirmingMembers = new AtomicInteger();

        MajorityRead(int majority, long sentNanos) {
            this.majority = majority;
            this.sentNanos = sentNanos;
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
                confirm(sentNanos);
            }
            return true;
        }
    }

    /** Applies a later revision of a member without confirming the copy. */
    private void applyUnconfirmed(ConfigurationUpdate update) {
        Long confirmed = confirmedNanos;
        if (confirmed != null) {
            applyAndConfirm(update, confirmed);
        }
    }

    private void confirm(long sentNanos) {
        lock.lock();
        try {
            Long confirmed = confirmedNanos;
            if (confirmed != null && sentNanos - confirmed > 0) {
                confirmedNanos = sentNanos;
            }
        } finally {
            lock.unlock();
        }
    }
}
