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
 * One life of a host in memory, which keeps to the rules of orders: fencing, leases by its own clock, ends that are listed
 * until they may be forgotten, and stops that keep a run from starting later.
 */
final class FakeHost {
    private static final Duration LONGEST_LEASE = Duration.ofSeconds(6);

    private final TimeSource time;
    private final long clockOffsetMillis;
    private final Map<RunId, Long> running = new LinkedHashMap<>();
    private final Map<TaskId, Integer> highestOver = new HashMap<>();
    private final List<ReportedTermination> ends = new ArrayList<>();
    private final Map<Long, Integer> lapsesAtEnd = new HashMap<>();
    private final HostIncarnation address;
    private final Watch watch;
    private long token;
    private long leaseUntilMillis;
    private long endNumber;
    private int lapses;
    private boolean lapsed = true;
    private long sequence;
    private boolean up = true;

    /** Hears what really happens on hosts. */
    interface Watch {
        void started(FakeHost host, RunId run);

        void ended(FakeHost host, RunId run, TerminalStatus how);

        void noted(FakeHost host, RunId run, TerminalStatus how, boolean leaseHeld);
    }

    FakeHost(String id, String address, TimeSource time, Watch watch) {
        this.address = new HostIncarnation(id, address);
        this.time = time;
        this.watch = watch;
        clockOffsetMillis = 1_000L * Math.abs(id.hashCode() % 1_000);
    }

    HostIncarnation address() {
        return address;
    }

    boolean isUp() {
        return up;
    }

    HostHeartbeat report(boolean draining) {
        sequence++;
        Resources capacity = Resources.of(4_000, 4_000, 0);
        return new HostHeartbeat(address, "pool", "fd", capacity, "a", "r1", draining, clockMillis(), sequence);
    }

    private long clockMillis() {
        return clockOffsetMillis + time.nanoTime() / 1_000_000 * 99 / 100;
    }

    /** Ends this life: everything that runs is gone, and nothing is remembered. */
    void crash() {
        up = false;
        running.keySet().forEach(run -> watch.ended(this, run, TerminalStatus.HOST_LOST));
        running.clear();
    }

    /** Ends what has run for long enough, and everything when the lease is over. */
    void tick(TerminalStatus how, long runMillis) {
        long now = time.nanoTime();
        lapse();
        for (Map.Entry<RunId, Long> each : Map.copyOf(running).entrySet()) {
            if (now - each.getValue() >= runMillis * 1_000_000) {
                finish(each.getKey(), how);
            }
        }
    }

    /** Ends everything when the lease is over. */
    void lapse() {
        if (!lapsed && clockMillis() > leaseUntilMillis) {
            lapsed = true;
            lapses++;
            List.copyOf(running.keySet()).forEach(run -> finish(run, TerminalStatus.LAPSED));
        }
    }

    /** Ends one run in a way, if it is at work. */
    void end(RunId run, TerminalStatus how) {
        if (running.containsKey(run)) {
            finish(run, how);
        }
    }

    List<RunId> runs() {
        return List.copyOf(running.keySet());
    }

    int runningCount() {
        return running.size();
    }

    private void finish(RunId run, TerminalStatus how) {
        running.remove(run);
        highestOver.merge(run.task(), run.number(), Math::max);
        endNumber++;
        ends.add(new ReportedTermination(endNumber, run, how, ""));
        lapsesAtEnd.put(endNumber, lapses);
        watch.ended(this, run, how);
    }

    HostResponse carryOut(HostCommand order) {
        if (!up) {
            return new HostResponse.NoResponse("down");
        }
        if (order.token() < token) {
            return new HostResponse.Rejected(RejectionReason.FENCED);
        }
        token = order.token();
        lapse();
        return switch (order) {
            case HostCommand.Start start -> start(start);
            case HostCommand.Stop stop -> stop(stop.run());
            case HostCommand.Poll hold -> hold(hold);
            case HostCommand.Throttle pace -> new HostResponse.Accepted(clockMillis());
        };
    }

    private HostResponse start(HostCommand.Start start) {
        RunId run = start.run().run();
        if (start.leaseExpiryMillis() <= clockMillis()) {
            return new HostResponse.Rejected(RejectionReason.LATE);
        }
        extend(start.leaseExpiryMillis());
        if (running.containsKey(run)) {
            return new HostResponse.Accepted(clockMillis());
        }
        if (highestOver.getOrDefault(run.task(), 0) >= run.number()) {
            return new HostResponse.Rejected(RejectionReason.OLD);
        }
        running.put(run, time.nanoTime());
        watch.started(this, run);
        return new HostResponse.Accepted(clockMillis());
    }

    private HostResponse stop(RunId run) {
        if (running.containsKey(run)) {
            finish(run, TerminalStatus.STOPPED);
        }
        highestOver.merge(run.task(), run.number(), Math::max);
        return new HostResponse.Accepted(clockMillis());
    }

    private HostResponse hold(HostCommand.Poll hold) {
        extend(hold.leaseExpiryMillis());
        for (ReportedTermination end : List.copyOf(ends)) {
            if (end.sequence() <= hold.acknowledgedThrough()) {
                ends.remove(end);
                watch.noted(this, end.run(), end.status(), lapsesAtEnd.getOrDefault(end.sequence(), 0) == lapses);
            }
        }
        List<ReportedRun> listed = running.keySet().stream()
                .map(run -> new ReportedRun(run, "", percent(run), 0))
                .toList();
        return new HostResponse.PollResult(clockMillis(), listed, ends);
    }

    /** Returns how far a run is: one percent for each quarter of a second. */
    private int percent(RunId run) {
        long sinceMillis = (time.nanoTime() - running.getOrDefault(run, time.nanoTime())) / 1_000_000;
        return (int) Math.min(99, sinceMillis / 250);
    }

    private void extend(long untilMillis) {
        long bounded = Math.min(untilMillis, clockMillis() + LONGEST_LEASE.toMillis());
        leaseUntilMillis = Math.max(leaseUntilMillis, bounded);
        lapsed &= clockMillis() > leaseUntilMillis;
    }
}
