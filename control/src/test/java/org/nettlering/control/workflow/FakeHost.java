package org.nettlering.control.workflow;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.domain.workflow.HostIncarnation;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.TaskId;
import org.nettlering.domain.workflow.TerminalStatus;
import org.nettlering.domain.workflow.host.HostCommand;
import org.nettlering.domain.workflow.host.HostHeartbeat;
import org.nettlering.domain.workflow.host.HostResponse;
import org.nettlering.domain.workflow.host.HostResponse.RejectionReason;
import org.nettlering.domain.workflow.host.HostResponse.ReportedRun;
import org.nettlering.domain.workflow.host.HostResponse.ReportedTermination;

/**
 * An in-memory host incarnation that follows the host side of the command protocol:
 *
 * <ul>
 *   <li>it rejects commands with a token below the highest one received;
 *   <li>it terminates its runs when the lease expires by its own clock, which differs from the leader's in offset and rate;
 *   <li>it reports each termination until the leader acknowledges it;
 *   <li>after a stop it rejects a start of the same run that arrives later.
 * </ul>
 */
final class FakeHost {
    private static final Duration MAX_LEASE = Duration.ofSeconds(6);

    private final TimeSource time;
    private final long clockOffsetMillis;
    private final long clockOriginNanos;
    private final long startMillis;
    private final Map<RunId, Long> running = new LinkedHashMap<>();
    private final Map<TaskId, Integer> highestTerminatedNumbers = new HashMap<>();
    private final List<ReportedTermination> unacknowledgedTerminations = new ArrayList<>();
    private final Map<Long, Integer> leaseExpiriesAtTermination = new HashMap<>();
    private final HostIncarnation incarnation;
    private final Listener listener;
    private long token;
    private long leaseExpiryMillis;
    private long lastTerminationNumber;
    private int leaseExpiries;
    private boolean leaseExpired = true;
    private long heartbeatSequence;
    private boolean up = true;
    private boolean startToldAlways;
    private long pollCount;

    /** Observes the actual events on a host, whether or not the leader learns of them. */
    interface Listener {
        void runStarted(FakeHost host, RunId run);

        void runTerminated(FakeHost host, RunId run, TerminalStatus status);

        /** Called with {@code leaseHeld} true if the lease has not expired since the run terminated. */
        void terminationAcknowledged(FakeHost host, RunId run, TerminalStatus status, boolean leaseHeld);
    }

    FakeHost(String id, String address, TimeSource time, Listener listener) {
        this(new HostIncarnation(id, address), 1_000L * Math.abs(id.hashCode() % 1_000), 0, time, listener);
    }

    private FakeHost(
            HostIncarnation incarnation,
            long clockOffsetMillis,
            long clockOriginNanos,
            TimeSource time,
            Listener listener) {
        this.incarnation = incarnation;
        this.clockOffsetMillis = clockOffsetMillis;
        this.clockOriginNanos = clockOriginNanos;
        startMillis = 1 + clockOriginNanos / 1_000_000;
        this.time = time;
        this.listener = listener;
    }

    /** Returns a host that starts again under its id: it knows nothing of before, and its counts and clock start anew. */
    FakeHost reborn() {
        FakeHost reborn = new FakeHost(incarnation, 0, time.nanoTime(), time, listener);
        reborn.startToldAlways = startToldAlways;
        return reborn;
    }

    /** Has this host and those that start again under its id tell their start in every response, not only to polls. */
    void tellStartAlways() {
        startToldAlways = true;
    }

    HostIncarnation incarnation() {
        return incarnation;
    }

    /** Returns a failure domain for each number of a host. */
    String failureDomain() {
        String address = incarnation.address();
        return "fd" + address.substring(address.lastIndexOf('.') + 1, address.lastIndexOf(':'));
    }

    boolean isUp() {
        return up;
    }

    HostHeartbeat heartbeat(boolean draining) {
        heartbeatSequence++;
        Resources capacity = Resources.of(4_000, 4_000, 0);
        return new HostHeartbeat(
                incarnation,
                "pool",
                failureDomain(),
                capacity,
                "a",
                "r1",
                draining,
                clockMillis(),
                heartbeatSequence,
                startMillis);
    }

    long clockMillis() {
        return clockOffsetMillis + (time.nanoTime() - clockOriginNanos) / 1_000_000 * 99 / 100;
    }

    /** Terminates the incarnation: all runs are lost, and later commands get no response. */
    void crash() {
        up = false;
        running.keySet().forEach(run -> listener.runTerminated(this, run, TerminalStatus.HOST_LOST));
        running.clear();
    }

    /** Terminates the runs of at least the given age with the status; all runs, as lapsed, if the lease has expired. */
    void terminateRuns(TerminalStatus status, long minRunMillis) {
        long nowNanos = time.nanoTime();
        expireLeaseIfDue();
        for (Map.Entry<RunId, Long> entry : Map.copyOf(running).entrySet()) {
            if (nowNanos - entry.getValue() >= minRunMillis * 1_000_000) {
                terminate(entry.getKey(), status);
            }
        }
    }

    /** Terminates all runs if the lease has expired. */
    void expireLeaseIfDue() {
        if (!leaseExpired && clockMillis() > leaseExpiryMillis) {
            leaseExpired = true;
            leaseExpiries++;
            List.copyOf(running.keySet()).forEach(run -> terminate(run, TerminalStatus.LAPSED));
        }
    }

    void terminateIfRunning(RunId run, TerminalStatus status) {
        if (running.containsKey(run)) {
            terminate(run, status);
        }
    }

    List<RunId> runs() {
        return List.copyOf(running.keySet());
    }

    int runningCount() {
        return running.size();
    }

    /** Returns the number of polls that were handled. */
    long pollCount() {
        return pollCount;
    }

    private void terminate(RunId run, TerminalStatus status) {
        running.remove(run);
        highestTerminatedNumbers.merge(run.task(), run.number(), Math::max);
        lastTerminationNumber++;
        unacknowledgedTerminations.add(new ReportedTermination(lastTerminationNumber, run, status, ""));
        leaseExpiriesAtTermination.put(lastTerminationNumber, leaseExpiries);
        listener.runTerminated(this, run, status);
    }

    HostResponse handle(HostCommand command) {
        if (!up) {
            return new HostResponse.NoResponse("down");
        }
        if (command.token() < token) {
            return new HostResponse.Rejected(RejectionReason.FENCED);
        }
        token = command.token();
        expireLeaseIfDue();
        return switch (command) {
            case HostCommand.Start start -> start(start);
            case HostCommand.Stop stop -> stop(stop.run());
            case HostCommand.Poll poll -> poll(poll);
            case HostCommand.Throttle throttle -> accepted();
        };
    }

    private HostResponse accepted() {
        return startToldAlways
                ? new HostResponse.Accepted(clockMillis(), startMillis)
                : new HostResponse.Accepted(clockMillis());
    }

    private HostResponse start(HostCommand.Start start) {
        RunId run = start.run().run();
        if (start.leaseExpiryMillis() <= clockMillis()) {
            return new HostResponse.Rejected(RejectionReason.LATE);
        }
        extendLease(start.leaseExpiryMillis());
        if (running.containsKey(run)) {
            return accepted();
        }
        if (highestTerminatedNumbers.getOrDefault(run.task(), 0) >= run.number()) {
            return new HostResponse.Rejected(RejectionReason.OLD);
        }
        running.put(run, time.nanoTime());
        listener.runStarted(this, run);
        return accepted();
    }

    private HostResponse stop(RunId run) {
        if (running.containsKey(run)) {
            terminate(run, TerminalStatus.STOPPED);
        }
        highestTerminatedNumbers.merge(run.task(), run.number(), Math::max);
        return accepted();
    }

    private HostResponse poll(HostCommand.Poll poll) {
        pollCount++;
        extendLease(poll.leaseExpiryMillis());
        for (ReportedTermination termination : List.copyOf(unacknowledgedTerminations)) {
            if (termination.sequence() <= poll.acknowledgedThrough()) {
                unacknowledgedTerminations.remove(termination);
                listener.terminationAcknowledged(
                        this,
                        termination.run(),
                        termination.status(),
                        leaseExpiriesAtTermination.getOrDefault(termination.sequence(), 0) == leaseExpiries);
            }
        }
        List<ReportedRun> reportedRuns = running.keySet().stream()
                .map(run -> new ReportedRun(run, "", progressPercent(run), 0))
                .toList();
        return new HostResponse.PollResult(clockMillis(), reportedRuns, unacknowledgedTerminations, startMillis);
    }

    /** Returns the progress of a run: one percent for each 250 ms, up to 99. */
    private int progressPercent(RunId run) {
        long elapsedMillis = (time.nanoTime() - running.getOrDefault(run, time.nanoTime())) / 1_000_000;
        return (int) Math.min(99, elapsedMillis / 250);
    }

    private void extendLease(long requestedExpiryMillis) {
        long boundedExpiryMillis = Math.min(requestedExpiryMillis, clockMillis() + MAX_LEASE.toMillis());
        leaseExpiryMillis = Math.max(leaseExpiryMillis, boundedExpiryMillis);
        leaseExpired &= clockMillis() > leaseExpiryMillis;
    }
}
