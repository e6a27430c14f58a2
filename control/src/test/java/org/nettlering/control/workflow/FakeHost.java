package org.nettlering.control.workflow;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.domain.workflow.HostAddress;
import org.nettlering.domain.workflow.RunEnd;
import org.nettlering.domain.workflow.RunName;
import org.nettlering.domain.workflow.TaskName;
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
    private final Map<RunName, Long> running = new LinkedHashMap<>();
    private final Map<TaskName, Integer> highestOver = new HashMap<>();
    private final List<ReportedTermination> ends = new ArrayList<>();
    private final Map<Long, Integer> lapsesAtEnd = new HashMap<>();
    private final HostAddress address;
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
        void started(FakeHost host, RunName run);

        void ended(FakeHost host, RunName run, RunEnd how);

        void noted(FakeHost host, RunName run, RunEnd how, boolean leaseHeld);
    }

    FakeHost(String id, String address, TimeSource time, Watch watch) {
        this.address = new HostAddress(id, address);
        this.time = time;
        this.watch = watch;
        clockOffsetMillis = 1_000L * Math.abs(id.hashCode() % 1_000);
    }

    HostAddress address() {
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
        running.keySet().forEach(run -> watch.ended(this, run, RunEnd.HOST_LOST));
        running.clear();
    }

    /** Ends what has run for long enough, and everything when the lease is over. */
    void tick(RunEnd how, long runMillis) {
        long now = time.nanoTime();
        lapse();
        for (Map.Entry<RunName, Long> each : Map.copyOf(running).entrySet()) {
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
            List.copyOf(running.keySet()).forEach(run -> finish(run, RunEnd.LAPSED));
        }
    }

    /** Ends one run in a way, if it is at work. */
    void end(RunName run, RunEnd how) {
        if (running.containsKey(run)) {
            finish(run, how);
        }
    }

    List<RunName> runs() {
        return List.copyOf(running.keySet());
    }

    int runningCount() {
        return running.size();
    }

    private void finish(RunName run, RunEnd how) {
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
        RunName run = start.run().run();
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

    private HostResponse stop(RunName run) {
        if (running.containsKey(run)) {
            finish(run, RunEnd.STOPPED);
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
    private int percent(RunName run) {
        long sinceMillis = (time.nanoTime() - running.getOrDefault(run, time.nanoTime())) / 1_000_000;
        return (int) Math.min(99, sinceMillis / 250);
    }

    private void extend(long untilMillis) {
        long bounded = Math.min(untilMillis, clockMillis() + LONGEST_LEASE.toMillis());
        leaseUntilMillis = Math.max(leaseUntilMillis, bounded);
        lapsed &= clockMillis() > leaseUntilMillis;
    }
}
