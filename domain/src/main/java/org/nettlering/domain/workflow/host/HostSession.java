package org.nettlering.domain.workflow.host;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.LongStream;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.HostAddress;
import org.nettlering.domain.workflow.RunEnd;
import org.nettlering.domain.workflow.RunName;
import org.nettlering.domain.workflow.WorkflowCommand.End;
import org.nettlering.domain.workflow.host.HostAnswer.Accepted;
import org.nettlering.domain.workflow.host.HostAnswer.ListedEnd;
import org.nettlering.domain.workflow.host.HostAnswer.ListedRun;
import org.nettlering.domain.workflow.host.HostAnswer.Listing;
import org.nettlering.domain.workflow.host.HostAnswer.Refused;
import org.nettlering.domain.workflow.host.HostAnswer.Silent;
import org.nettlering.domain.workflow.host.HostAnswer.Unsent;
import org.nettlering.domain.workflow.host.HostAnswer.Unwell;
import org.nettlering.domain.workflow.host.TrackedRun.Stage;

/**
 * One life of a host as the leader of one term follows it: which runs may be at work there, which orders it is owed, and
 * what its answers prove.
 *
 * <p>Guarantees that an end is reported only on proof that the run is over: the host listed the end; the host answered
 * a later look without the run, after a stop of it was answered or after the first order of this term had cut off those of
 * earlier leaders; another life of the host answers at its address; or the lease has certainly ended by the host's own
 * clock and the host is not heard of, or was not reached for another lease. An end that the host lists after another one was
 * inferred is reported too, and the host may not forget it before it is logged. Takes answers in any order. Not thread-safe.
 */
public final class HostSession {
    /** How long a look waits for an end at most. */
    private static final Duration LOOK_WAIT = Duration.ofSeconds(1);

    /** How long a look waits for an end at most where the load is watched. */
    private static final Duration WATCH_WAIT = Duration.ofMillis(450);

    /** How long to leave a host alone that did not answer or is not well. */
    private static final Duration SILENT_PAUSE = Duration.ofMillis(300);

    /** The least time from one look to the next; one that waits for an end usually takes longer by itself. */
    private static final Duration LOOK_PAUSE = Duration.ofMillis(25);

    /** The least time from a look that does not wait to the next. */
    private static final Duration QUICK_LOOK_PAUSE = Duration.ofMillis(100);

    /** The host. */
    private final HostAddress host;

    /** The times that it keeps to. */
    private final HostLimits limits;

    /** The fencing token of this term. */
    private final long token;

    /** How the host is in touch. */
    private final HostContact contact;

    /** The runs that may be at work. */
    private final Map<RunName, TrackedRun> runs = new LinkedHashMap<>();

    /** Runs at work there that should not be, and when a stop may be sent again. */
    private final Map<RunName, Long> strays = new HashMap<>();

    /** The ends that the host listed. */
    private final EndLedger ends = new EndLedger();

    /** The lease of what runs there. */
    private final HostLease lease;

    /** Whether the host answered a look in this term. */
    private boolean looked;

    /** Whether a look is on its way. */
    private boolean lookInFlight;

    /** When the next look may be sent, by the monotonic clock. */
    private long nextLookNanos;

    /** Whether the load of the runs is watched. */
    private boolean watched;

    /**
     * Begins to follow a host.
     *
     * @param host this life of the host, not null
     * @param limits the times that it keeps to, not null
     * @param token the fencing token of this term
     * @param nowNanos the monotonic time
     * @return a new session, never null
     */
    public static HostSession begin(HostAddress host, HostLimits limits, long token, long nowNanos) {
        return new HostSession(host, limits, token, nowNanos);
    }

    private HostSession(HostAddress host, HostLimits limits, long token, long nowNanos) {
        this.host = host;
        this.limits = limits;
        this.token = token;
        contact = new HostContact(nowNanos);
        lease = new HostLease(limits, nowNanos);
        nextLookNanos = nowNanos;
    }

    /**
     * Returns the host.
     *
     * @return this life of the host, never null
     */
    public HostAddress host() {
        return host;
    }

    /**
     * Returns the latest report of this term.
     *
     * @return the report, or empty if none came, never null
     */
    public Optional<HostReport> report() {
        return contact.report();
    }

    /**
     * Tells whether new work may be given to the host.
     *
     * @param nowNanos the monotonic time
     * @return true if it reports, does not drain, has answered in this term, did not leave the last order unanswered and did
     *     not refuse work just now
     */
    public boolean takesWork(long nowNanos) {
        return looked && contact.takesWork(nowNanos);
    }

    /**
     * Tells whether the session has no purpose any more.
     *
     * @param nowNanos the monotonic time
     * @return true if no run may be at work and the host is gone, or was not heard of for long
     */
    public boolean isOver(long nowNanos) {
        return runs.isEmpty() && (isGone(nowNanos) || contact.isUnheardForLong(nowNanos));
    }

    private boolean isGone(long nowNanos) {
        return contact.isGone(lookInFlight, nowNanos);
    }

    /**
     * Returns the newest saved progress of a run.
     *
     * @param run the run, not null
     * @return the checkpoint, empty if none is known, never null
     */
    public String checkpointOf(RunName run) {
        TrackedRun tracked = runs.get(run);
        return tracked == null ? "" : tracked.checkpoint;
    }

    /**
     * Takes a report of the host.
     *
     * @param latest the report, not null
     * @param nowNanos the monotonic time
     * @return false if it is older than one that was taken
     */
    public boolean receive(HostReport latest, long nowNanos) {
        if (!contact.receive(latest, nowNanos)) {
            return false;
        }
        lease.readClock(latest.clockMillis(), nowNanos);
        return true;
    }

    /**
     * Notes that the host has said that it leaves.
     *
     * @param nowNanos the monotonic time
     */
    public void leave(long nowNanos) {
        contact.leave(nowNanos);
    }

    /**
     * Follows a run that an earlier leader started.
     *
     * @param run the run, not null
     * @param paced whether that leader may have told the host a pace for it, which is told anew then
     * @param nowNanos the monotonic time
     */
    public void inherit(ActiveRun run, boolean paced, long nowNanos) {
        TrackedRun tracked = new TrackedRun(run, "", "", Stage.INHERITED, nowNanos);
        if (paced) {
            tracked.forgetPace(nowNanos);
        }
        runs.put(run.run(), tracked);
        lease.inherit();
    }

    /**
     * Follows a run whose start was logged, and sends its order next.
     *
     * @param run the run, not null
     * @param taskSpecification what the task is to do, not null
     * @param ticket the permission of the queue's policy, empty if none is needed, not null
     * @param nowNanos the monotonic time
     */
    public void start(ActiveRun run, String taskSpecification, String ticket, long nowNanos) {
        runs.put(run.run(), new TrackedRun(run, taskSpecification, ticket, Stage.TO_SEND, nowNanos));
    }

    /**
     * Has a run stopped.
     *
     * @param run the run; one that is not followed is ignored, not null
     */
    public void stop(RunName run) {
        TrackedRun tracked = runs.get(run);
        if (tracked != null) {
            tracked.stopWanted = true;
        }
    }

    /**
     * Sets the pace of a run.
     *
     * @param run the run; one that is not followed is ignored, not null
     * @param percent the share of its speed, 0 to 100
     */
    public void pace(RunName run, int percent) {
        TrackedRun tracked = runs.get(run);
        if (tracked != null) {
            tracked.wantPace(percent);
        }
    }

    /**
     * Has the load of the runs watched more closely, or no longer.
     *
     * @param wanted true where runs that fill share the host with runs that serve
     */
    public void watch(boolean wanted) {
        watched = wanted;
    }

    /**
     * Returns what the last look told of the runs at work.
     *
     * @return the runs that were listed and whose end is not known, never null
     */
    public List<RunLoad> loads() {
        return runs.values().stream()
                .filter(tracked -> tracked.listed && !tracked.endFound && !tracked.stopWanted)
                .map(TrackedRun::toLoad)
                .toList();
    }

    /**
     * Stops following a run: an end of it is in the log.
     *
     * @param run the run, not null
     * @param how the end that is in the log, not null
     * @return true if the run was followed here
     */
    public boolean ended(RunName run, RunEnd how) {
        ends.close(run, how);
        return runs.remove(run) != null;
    }

    /**
     * Returns the orders that are due, and takes them as sent.
     *
     * @param nowNanos the monotonic time
     * @return the orders in the order in which to send them, never null
     */
    public List<HostOrder> dueOrders(long nowNanos) {
        List<HostOrder> due = new ArrayList<>();
        if (isGone(nowNanos)) {
            return due;
        }
        for (TrackedRun tracked : runs.values()) {
            tracked.dueOrder(token, lease, contact.isSilent(), nowNanos).ifPresent(due::add);
        }
        strays.replaceAll((run, next) -> {
            if (nowNanos - next < 0) {
                return next;
            }
            due.add(new HostOrder.Stop(host, token, run));
            return nowNanos + TrackedRun.STOP_PAUSE.toNanos();
        });
        if (wantsLook(nowNanos)) {
            due.add(look(nowNanos));
        }
        return due;
    }

    /**
     * Returns when the host is next to be looked at although nothing came from it and nothing was wanted of it until then.
     *
     * <p>Leases that lapse and hosts that are not heard of are left out: they are found soon enough at regular intervals.
     *
     * @param nowNanos the monotonic time
     * @return the earliest time at which an order falls due or this life ends, empty if neither will, never null
     */
    public OptionalLong nextDueNanos(long nowNanos) {
        LongStream.Builder waits = LongStream.builder();
        if (!isGone(nowNanos)) {
            contact.goneNanos().ifPresent(gone -> waits.add(gone - nowNanos));
        }
        if (wantsLookInTime()) {
            waits.add(nextLookNanos - nowNanos);
        }
        strays.values().forEach(next -> waits.add(next - nowNanos));
        runs.values().forEach(run -> run.nextStopNanos().ifPresent(next -> waits.add(next - nowNanos)));
        OptionalLong least = waits.build().min();
        return least.isEmpty() || isGone(nowNanos)
                ? OptionalLong.empty()
                : OptionalLong.of(nowNanos + least.getAsLong());
    }

    private boolean wantsLook(long nowNanos) {
        return wantsLookInTime() && nowNanos - nextLookNanos >= 0;
    }

    private boolean wantsLookInTime() {
        boolean needed = !looked || contact.isSilent() || !runs.isEmpty() || ends.hasNews() || !strays.isEmpty();
        boolean mayWaitForLog = ends.isWaiting() && !contact.isSilent();
        return needed && !mayWaitForLog && !lookInFlight;
    }

    private HostOrder look(long nowNanos) {
        lookInFlight = true;
        boolean quick = !looked || contact.isSilent() || runs.isEmpty() || !strays.isEmpty() || hasDoubt();
        long wait = quick ? 0 : (watched ? WATCH_WAIT : LOOK_WAIT).toMillis();
        boolean renews = !runs.isEmpty() && !contact.isSilent();
        return new HostOrder.Hold(host, token, renews ? lease.renewed(nowNanos) : 0, ends.noted(), wait);
    }

    /** Tells whether a run's fate hangs on the next look. */
    private boolean hasDoubt() {
        return runs.values().stream().anyMatch(tracked -> tracked.stage == Stage.UNANSWERED);
    }

    /**
     * Takes what came of an order.
     *
     * @param order the order, not null
     * @param sentNanos when it was sent, by the monotonic clock
     * @param answer what came of it, not null
     * @param nowNanos the monotonic time
     * @return the ends that the answer proves, to be logged, never null
     */
    public List<End> answered(HostOrder order, long sentNanos, HostAnswer answer, long nowNanos) {
        noteContact(answer, nowNanos);
        return switch (order) {
            case HostOrder.Start start -> startAnswered(start, answer, nowNanos);
            case HostOrder.Stop stop -> stopAnswered(stop, answer, nowNanos);
            case HostOrder.Hold hold -> lookAnswered(hold, sentNanos, answer, nowNanos);
            case HostOrder.Pace pace -> paceAnswered(pace, answer, nowNanos);
        };
    }

    private List<End> paceAnswered(HostOrder.Pace pace, HostAnswer answer, long nowNanos) {
        TrackedRun tracked = runs.get(pace.run());
        if (tracked != null) {
            tracked.paceAnswered(pace.percent(), answer instanceof Accepted, nowNanos);
        }
        return List.of();
    }

    private void noteContact(HostAnswer answer, long nowNanos) {
        contact.answered(answer, nowNanos);
        switch (answer) {
            case Accepted accepted -> lease.readClock(accepted.clockMillis(), nowNanos);
            case Listing listing -> lease.readClock(listing.clockMillis(), nowNanos);
            default -> {}
        }
    }

    private List<End> startAnswered(HostOrder.Start start, HostAnswer answer, long nowNanos) {
        TrackedRun tracked = runs.get(start.run().run());
        if (tracked == null || tracked.stage != Stage.SENT) {
            return List.of();
        }
        switch (answer) {
            case Accepted accepted -> tracked.confirm(nowNanos);
            case Silent nothing -> doubt(tracked, nowNanos);
            case Unsent unsent -> {
                return List.of(
                        end(tracked, RunEnd.NOT_BEGUN, new EndProof.NotSent(tracked.stopWanted, contact.isSilent())));
            }
            case Refused refused -> {
                contact.refused(nowNanos);
                return List.of(end(tracked, RunEnd.NOT_BEGUN, new EndProof.StartRefused(refused.reason())));
            }
            case Unwell unwell -> {
                return List.of(end(tracked, RunEnd.NOT_BEGUN, new EndProof.HostUnwell()));
            }
            default -> {}
        }
        return List.of();
    }

    /** Treats a run as one that may have begun, until the host shows what became of it. */
    private void doubt(TrackedRun tracked, long nowNanos) {
        tracked.stage = Stage.UNANSWERED;
        tracked.stopWanted = true;
        nextLookNanos = nowNanos;
    }

    private List<End> stopAnswered(HostOrder.Stop stop, HostAnswer answer, long nowNanos) {
        TrackedRun tracked = runs.get(stop.run());
        boolean done = answer instanceof Accepted || answer instanceof Refused;
        if (tracked == null) {
            if (done) {
                strays.remove(stop.run());
            }
            return List.of();
        }
        tracked.stopAnswered(answer instanceof Accepted, nowNanos);
        return List.of();
    }

    private List<End> lookAnswered(HostOrder.Hold hold, long sentNanos, HostAnswer answer, long nowNanos) {
        lookInFlight = false;
        if (!(answer instanceof Listing listing)) {
            nextLookNanos = nowNanos + SILENT_PAUSE.toNanos();
            return List.of();
        }
        looked = true;
        lease.cutOffEarlierLeaders();
        Duration pause = hold.waitMillis() > 0 ? LOOK_PAUSE : QUICK_LOOK_PAUSE;
        nextLookNanos = Math.max(nowNanos, sentNanos + pause.toNanos());
        ends.tell(hold.noted());
        Set<RunName> listed = new HashSet<>();
        List<End> found = new ArrayList<>();
        for (ListedRun each : listing.running()) {
            listed.add(each.run());
            takeRunning(each, nowNanos);
        }
        strays.keySet().retainAll(listed);
        for (ListedEnd each : listing.ended()) {
            listed.add(each.run());
            takeEnd(each, found);
        }
        for (TrackedRun tracked : runs.values()) {
            if (!tracked.endFound && !listed.contains(tracked.run.run())) {
                judgeAbsence(tracked, sentNanos, found);
            }
        }
        return found;
    }

    private void takeEnd(ListedEnd listed, List<End> found) {
        ends.list(listed.number());
        TrackedRun tracked = runs.get(listed.run());
        if (tracked == null) {
            takeEndOfUnfollowed(listed, found);
            return;
        }
        ends.open(listed);
        if (tracked.isEndListed()) {
            return;
        }
        tracked.foundEnd(new EndProof.Listed());
        String checkpoint = listed.checkpoint().isEmpty() ? tracked.checkpoint : listed.checkpoint();
        found.add(new End(listed.run(), listed.how(), checkpoint));
    }

    /** Has an end logged that may contradict what was inferred of the run; until then the host must not forget it. */
    private void takeEndOfUnfollowed(ListedEnd listed, List<End> found) {
        if (listed.how() == RunEnd.DONE || listed.how() == RunEnd.FAILED) {
            ends.open(listed);
            found.add(new End(listed.run(), listed.how(), listed.checkpoint()));
        }
    }

    private void takeRunning(ListedRun listed, long nowNanos) {
        TrackedRun tracked = runs.get(listed.run());
        if (tracked == null) {
            strays.putIfAbsent(listed.run(), nowNanos);
            return;
        }
        tracked.list(listed, nowNanos);
        tracked.repeatStopAfter(limits.stopGrace(), nowNanos);
    }

    /** Decides what it means that a look shows a run neither at work nor ended. */
    private void judgeAbsence(TrackedRun tracked, long sentNanos, List<End> found) {
        boolean stoppedBefore = tracked.wasStoppedBefore(limits.stopGrace(), sentNanos);
        switch (tracked.stage) {
            case INHERITED -> found.add(end(tracked, RunEnd.NOT_BEGUN, new EndProof.NeverListed()));
            case TO_SEND, SENT -> {}
            case UNANSWERED -> {
                if (stoppedBefore) {
                    found.add(end(tracked, RunEnd.NOT_BEGUN, new EndProof.StoppedAndGone()));
                }
            }
            case CONFIRMED -> {
                tracked.stopWanted |= sentNanos - tracked.confirmedNanos >= 0;
                if (stoppedBefore) {
                    found.add(end(tracked, RunEnd.HOST_LOST, new EndProof.StoppedAndGone()));
                }
            }
        }
    }

    private static End end(TrackedRun tracked, RunEnd how, EndProof proof) {
        tracked.foundEnd(proof);
        return new End(tracked.run.run(), how, tracked.checkpoint);
    }

    /**
     * Returns the ends of runs that certainly are over although the host did not say so.
     *
     * @param nowNanos the monotonic time
     * @return the ends, to be logged, never null
     */
    public List<End> overdueEnds(long nowNanos) {
        List<End> found = new ArrayList<>();
        boolean gone = isGone(nowNanos);
        boolean lapsed = hasLapsedUnheard(nowNanos);
        for (TrackedRun tracked : runs.values()) {
            if (tracked.endFound) {
                continue;
            }
            if (tracked.stage == Stage.TO_SEND) {
                // The lease of earlier runs says nothing of a run whose order has not gone out.
                if (tracked.stopWanted || gone || contact.isSilent()) {
                    EndProof unsent = new EndProof.NotSent(tracked.stopWanted, contact.isSilent());
                    found.add(end(tracked, RunEnd.NOT_BEGUN, gone ? contact.goneProof() : unsent));
                }
            } else if (gone || lapsed) {
                found.add(end(tracked, RunEnd.HOST_LOST, gone ? contact.goneProof() : lapseProof(nowNanos)));
            }
        }
        return found;
    }

    /**
     * Tells whether the lease is over and the host's own list is not to be waited for any longer.
     *
     * <p>A lapsed lease shows that nothing works any more, not how it ended: a host that is heard of still has the ends.
     */
    private boolean hasLapsedUnheard(long nowNanos) {
        if (runs.isEmpty()) {
            return false;
        }
        Duration patience = contact.isReporting(nowNanos) ? limits.lease() : Duration.ZERO;
        return lease.hasLapsed(patience, nowNanos);
    }

    private EndProof lapseProof(long nowNanos) {
        return lease.lapseProof(contact.reportAgeMillis(nowNanos), contact.answerAgeMillis(nowNanos), nowNanos);
    }

    /**
     * Returns what showed the end of a run.
     *
     * @param run the run, not null
     * @return the proof, or empty if no end was found or the run is not followed any more, never null
     */
    public Optional<EndProof> proofOf(RunName run) {
        TrackedRun tracked = runs.get(run);
        return tracked == null ? Optional.empty() : Optional.ofNullable(tracked.proof);
    }
}
