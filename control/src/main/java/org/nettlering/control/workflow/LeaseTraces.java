package org.nettlering.control.workflow;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.domain.workflow.host.HostCommand;
import org.nettlering.domain.workflow.host.HostResponse;

/**
 * When the lease of each host was renewed last, and since when a poll to it is in flight.
 *
 * <p>For logs and metrics only; no decision depends on it. Thread-safe.
 */
final class LeaseTraces {
    /** The age of a poll that is not in flight. */
    static final long NONE = -1;

    private final TimeSource time;

    /** When the commands were sent with which the hosts last renewed their leases, by the host's incarnation id. */
    private final Map<String, Long> renewedNanos = new HashMap<>();

    /** The polls in flight by the host's incarnation id. */
    private final Map<String, PollInFlight> polls = new HashMap<>();

    /** When the outcome of a poll was last known, by the host's incarnation id. */
    private final Map<String, Long> pollFinishedNanos = new HashMap<>();

    static LeaseTraces create(TimeSource time) {
        return new LeaseTraces(time);
    }

    private LeaseTraces(TimeSource time) {
        this.time = time;
    }

    private record PollInFlight(HostCommand.Poll poll, long sentNanos) {}

    /** Returns when the latest command was sent that renewed the lease of a host; empty if none is known. */
    synchronized OptionalLong renewedNanos(String hostId) {
        Long nanos = renewedNanos.get(hostId);
        return nanos == null ? OptionalLong.empty() : OptionalLong.of(nanos);
    }

    /** Returns for how long a poll to a host has been in flight, in milliseconds, or {@link #NONE}. */
    synchronized long pollInFlightMillis(String hostId) {
        PollInFlight poll = polls.get(hostId);
        return poll == null ? NONE : TimeUnit.NANOSECONDS.toMillis(time.nanoTime() - poll.sentNanos);
    }

    /** Returns how long ago the outcome of a poll to a host was last known, in milliseconds, or {@link #NONE}. */
    synchronized long pollFinishedAgeMillis(String hostId) {
        Long nanos = pollFinishedNanos.get(hostId);
        return nanos == null ? NONE : TimeUnit.NANOSECONDS.toMillis(time.nanoTime() - nanos);
    }

    /** Returns for how long the oldest poll has been in flight, in nanoseconds, zero if there is none. */
    synchronized long oldestPollNanos() {
        long nowNanos = time.nanoTime();
        long oldestNanos = 0;
        for (PollInFlight poll : polls.values()) {
            oldestNanos = Math.max(oldestNanos, nowNanos - poll.sentNanos);
        }
        return oldestNanos;
    }

    synchronized void resetForNewTerm() {
        renewedNanos.clear();
        polls.clear();
        pollFinishedNanos.clear();
    }

    /** Discards what is known of all other hosts. */
    synchronized void retainHosts(Set<String> hostIds) {
        renewedNanos.keySet().retainAll(hostIds);
        polls.keySet().retainAll(hostIds);
        pollFinishedNanos.keySet().retainAll(hostIds);
    }

    synchronized void commandSent(HostCommand command) {
        if (command instanceof HostCommand.Poll poll) {
            polls.put(poll.host().id(), new PollInFlight(poll, time.nanoTime()));
        }
    }

    synchronized void commandFinished(HostCommand command, long sentNanos, HostResponse response) {
        String hostId = command.host().id();
        if (command instanceof HostCommand.Poll poll) {
            PollInFlight inFlight = polls.get(hostId);
            // The poll of an earlier term may finish after one of this term was sent.
            if (inFlight == null || !inFlight.poll.equals(poll)) {
                return;
            }
            polls.remove(hostId);
            pollFinishedNanos.put(hostId, time.nanoTime());
        }
        if (renewsLease(command, response)) {
            renewedNanos.merge(hostId, sentNanos, (known, sent) -> sent - known > 0 ? sent : known);
        }
    }

    private static boolean renewsLease(HostCommand command, HostResponse response) {
        return switch (command) {
            case HostCommand.Start start -> response instanceof HostResponse.Accepted;
            case HostCommand.Poll poll -> poll.leaseExpiryMillis() > 0 && response instanceof HostResponse.PollResult;
            case HostCommand.Stop stop -> false;
            case HostCommand.Throttle throttle -> false;
        };
    }
}
