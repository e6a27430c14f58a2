package org.nettlering.domain.workflow.host;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.HostIncarnation;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.TerminalStatus;
import org.nettlering.domain.workflow.WorkflowCommand.RecordTermination;
import org.nettlering.domain.workflow.host.HostResponse.NoResponse;
import org.nettlering.domain.workflow.host.HostResponse.PollResult;

/**
 * Tracks a host with one id during one leader term, also if it starts again under that id: the runs that may be active there, the commands due to it,
 * and the terminations that its responses prove.
 *
 * <p>A termination is returned only on evidence that the run is over or was never started:
 * <ul>
 *   <li>the host reported the termination, rejected the start or was too unhealthy to execute it, or the start was
 *       never sent;
 *   <li>a poll response that lists all terminations omits the run, and the poll was sent after the host had acknowledged a
 *       stop of the run and the stop grace period had passed;
 *   <li>the first poll response of this term that lists all terminations omits a run that an earlier leader started, whose
 *       commands are fenced by then;
 *   <li>another incarnation of the host responds at its address;
 *   <li>the lease has certainly expired by the host's own clock, and the host sends no heartbeats, has announced its
 *       shutdown or did not respond for the duration of another lease; for a start without a response the longest lease has
 *       passed as well, as an incarnation that nobody knows may have executed it.
 * </ul>
 *
 * <p>If the host later reports a termination that may contradict the one inferred for a run, the reported one is returned
 * too, and is not acknowledged to the host before it is committed. Responses may arrive in any order. Not thread-safe.
 */
public final class HostSession {
    /**
     * How long a command may have no outcome. Senders report one in less, also for a poll that waits at the host.
     */
    public static final Duration OUTCOME_DEADLINE = Duration.ofSeconds(6);

    private final HostIncarnation host;

    private long token;

    /** Whether the host may still execute commands that were sent to an incarnation which has terminated. */
    private boolean fenceNeeded;

    private final IncarnationTracker incarnation;

    private KnownIncarnation known;

    private final HostRuns runs = new HostRuns();

    private final InferredTerminations inferred;

    private final CommandsInFlight commandsInFlight = new CommandsInFlight();

    private final PollSchedule polls;

    /**
     * Creates a session for a host incarnation.
     *
     * @param host the host incarnation, not null
     * @param timings the lease and stop durations of the host, not null
     * @param token the fencing token
     * @param nowNanos the monotonic time
     * @return a new session, never null
     */
    public static HostSession create(HostIncarnation host, HostTimings timings, long token, long nowNanos) {
        return new HostSession(host, timings, token, nowNanos);
    }

    private HostSession(HostIncarnation host, HostTimings timings, long token, long nowNanos) {
        this.host = host;
        this.token = token;
        incarnation = new IncarnationTracker(nowNanos);
        known = new KnownIncarnation(timings, runs, nowNanos);
        inferred = new InferredTerminations(runs, timings);
        polls = new PollSchedule(nowNanos);
    }

    /**
     * Returns the host incarnation that this session tracks.
     *
     * @return the host incarnation, never null
     */
    public HostIncarnation host() {
        return host;
    }

    /**
     * Returns the runs that may be active on the host.
     *
     * @return the runs, which change with this session, never null
     */
    public HostRuns runs() {
        return runs;
    }

    /**
     * Returns the latest heartbeat received in this term.
     *
     * @return the heartbeat, or empty if none was received, never null
     */
    public Optional<HostHeartbeat> latestHeartbeat() {
        return known.liveness().latestHeartbeat();
    }

    /**
     * Returns whether new runs may be started on the host.
     *
     * @param nowNanos the monotonic time
     * @return true if the host sends heartbeats, is neither draining nor shutting down, has responded to a poll in this
     *     term, responded to the last command, and has not rejected a start within the backoff time
     */
    public boolean acceptsRuns(long nowNanos) {
        return polls.hasSucceeded() && !fenceNeeded && known.liveness().acceptsRuns(nowNanos);
    }

    /**
     * Returns whether the session can be discarded.
     *
     * @param nowNanos the monotonic time
     * @return true if no run may be active and the host incarnation has terminated or has sent no heartbeat for a long
     *     time
     */
    public boolean isObsolete(long nowNanos) {
        boolean terminated = isIncarnationTerminated() || known.liveness().hasLeft(polls.isInFlight(), nowNanos);
        boolean settled = terminated && !inferred.awaitsEvidenceOfCrash();
        return runs.isEmpty() && (settled || known.liveness().isHeartbeatLongOverdue(nowNanos));
    }

    private boolean isIncarnationTerminated() {
        return known.liveness().isIncarnationTerminated();
    }

    /**
     * Returns whether the host has announced its shutdown.
     *
     * @return true from the notice of this incarnation on; nothing starts there any more
     */
    public boolean isShutdownAnnounced() {
        return known.liveness().isShutdownAnnounced();
    }

    /**
     * Handles a heartbeat of the host.
     *
     * @param heartbeat the heartbeat, not null
     * @param nowNanos the monotonic time
     * @return false if the heartbeat is ignored because it is not newer than the latest one, or waits for a poll response
     *     that confirms that it is of the current incarnation
     */
    public boolean handleHeartbeat(HostHeartbeat heartbeat, long nowNanos) {
        if (incarnation.hasEnded(heartbeat.startMillis())) {
            return false;
        }
        if (incarnation.isOther(heartbeat.startMillis())) {
            incarnation.keepUnconfirmed(heartbeat);
            polls.requireNew(nowNanos);
            return false;
        }
        if (!incarnation.isIdentified()) {
            return known.handleUnidentifiedHeartbeat(heartbeat, nowNanos);
        }
        return incarnation.isCurrent(heartbeat.startMillis())
                ? known.handleHeartbeat(heartbeat, nowNanos)
                : known.handleHeartbeatWithoutStart(heartbeat, nowNanos);
    }

    /**
     * Handles the notice of the host that it is shutting down. From now on its lease is not renewed. What runs there ends
     * with the host, at a time that no later message tells, so the caller requests the stop of every run.
     *
     * @param startMillis when the incarnation that sent the notice started, in milliseconds since 1970, or
     *     {@link HostIncarnation#UNKNOWN_START}
     * @param nowNanos the monotonic time
     * @return false if the notice is ignored because it is not of the current incarnation
     */
    public boolean handleShutdownNotice(long startMillis, long nowNanos) {
        boolean isOther = incarnation.isOther(startMillis)
                || latestHeartbeat()
                        .filter(heartbeat -> HostIncarnation.isOtherStart(heartbeat.startMillis(), startMillis))
                        .isPresent();
        if (isOther) {
            polls.requireNew(nowNanos);
            return false;
        }
        known.liveness().handleShutdownNotice(startMillis, nowNanos);
        return true;
    }

    /** Has nothing started on the host until it has seen a higher fencing token: it may have started again unnoticed. */
    public void requireFence() {
        fenceNeeded = true;
    }

    /**
     * Returns whether the host needs a higher fencing token: it has started again under its id, so that commands which were
     * sent before may reach the new incarnation late.
     *
     * @return true until {@link #raiseToken} is called
     */
    public boolean needsFence() {
        return fenceNeeded;
    }

    /**
     * Uses a higher fencing token from now on. The host accepts runs again once a poll has shown it the token.
     *
     * @param higherToken the token, higher than any that was used for this host
     * @param nowNanos the monotonic time
     */
    public void raiseToken(long higherToken, long nowNanos) {
        token = higherToken;
        fenceNeeded = false;
        polls.requireNew(nowNanos);
    }

    /**
     * Tracks a run that an earlier leader started.
     *
     * @param run the run, not null
     * @param throttled whether the earlier leader may have throttled the run; if so, its speed is set again
     * @param nowNanos the monotonic time
     */
    public void trackInheritedRun(ActiveRun run, boolean throttled, long nowNanos) {
        runs.addInherited(run, throttled, nowNanos);
        incarnation.assumeStart(run.hostStartMillis());
        known.lease().markInherited();
    }

    /**
     * Tracks a run whose start is committed, and sends its start command next.
     *
     * @param run the run, not null
     * @param taskSpecification the specification of the task, not null
     * @param ticket the admission ticket from the queue's policy, empty if none is needed, not null
     * @param nowNanos the monotonic time
     */
    public void trackNewRun(ActiveRun run, String taskSpecification, String ticket, long nowNanos) {
        runs.addNew(run, taskSpecification, ticket, nowNanos);
    }

    /**
     * Returns whether the last response of the host is recent enough to tell which of its runs are at work.
     *
     * @param maxAge the largest age of the response, not null
     * @param nowNanos the monotonic time
     * @return true if the host has responded within that time
     */
    public boolean hasRespondedWithin(Duration maxAge, long nowNanos) {
        long ageMillis = known.liveness().responseAgeMillis(nowNanos);
        return ageMillis != TerminationEvidence.NEVER && ageMillis <= maxAge.toMillis();
    }

    /**
     * Returns whether the host was heard of recently, by a heartbeat or a response.
     *
     * @param maxAge the largest age of the last contact, not null
     * @param nowNanos the monotonic time
     * @return true if a heartbeat or a response was received within that time
     */
    public boolean hasContactWithin(Duration maxAge, long nowNanos) {
        long heartbeatAgeMillis = known.liveness().heartbeatAgeMillis(nowNanos);
        boolean recentHeartbeat =
                heartbeatAgeMillis != TerminationEvidence.NEVER && heartbeatAgeMillis <= maxAge.toMillis();
        return recentHeartbeat || hasRespondedWithin(maxAge, nowNanos);
    }

    /**
     * Stops tracking runs whose terminations are committed although {@link #onTerminationCommitted} was not called.
     *
     * @param activeRuns all runs that are active on this host by the replicated state, not null
     */
    public void retainRuns(Set<RunId> activeRuns) {
        runs.retain(activeRuns);
        known.terminations().discardWithoutEffect(activeRuns);
    }

    /**
     * Sets whether the usage of the runs is polled at shorter intervals.
     *
     * @param enabled true if best-effort runs share the host with latency-critical runs
     */
    public void setUsageMonitored(boolean enabled) {
        polls.setUsageMonitored(enabled);
    }

    /**
     * Stops tracking a run whose termination is committed to the log.
     *
     * @param run the run, not null
     * @param status the committed terminal status, not null
     * @return true if the run was tracked here
     */
    public boolean onTerminationCommitted(RunId run, TerminalStatus status) {
        known.terminations().recordCommitted(run, status);
        return runs.remove(run);
    }

    /**
     * Returns the commands that are due, and treats them as sent.
     *
     * @param nowNanos the monotonic time
     * @return the commands in the order in which to send them, never null
     */
    public List<HostCommand> takeDueCommands(long nowNanos) {
        List<HostCommand> due = collectDueCommands(nowNanos);
        due.forEach(command -> commandsInFlight.add(command, nowNanos));
        return due;
    }

    /**
     * Returns the commands that have had no outcome for longer than any sender takes. Their outcome is unknown: the caller
     * passes {@link HostResponse.NoResponse} for each to {@link #handleResponse}. A real response may still follow.
     *
     * @param nowNanos the monotonic time
     * @return the commands, never null
     */
    public List<HostCommand> overdueCommands(long nowNanos) {
        return commandsInFlight.overdue(OUTCOME_DEADLINE, nowNanos);
    }

    private List<HostCommand> collectDueCommands(long nowNanos) {
        List<HostCommand> due = new ArrayList<>();
        if (isIncarnationTerminated()) {
            return due;
        }
        boolean startable = !polls.isNewRequired() && !fenceNeeded;
        due.addAll(runs.takeDueCommands(
                token, known.lease(), startable, known.liveness().isUnresponsive(), nowNanos));
        due.addAll(known.takeDueStops(host, token, nowNanos));
        if (isPollDue(nowNanos)) {
            due.add(createPoll(nowNanos));
        }
        return due;
    }

    /**
     * Returns when this session next needs attention if nothing is received from the host and nothing is requested
     * before.
     *
     * <p>Does not include lease expiry and overdue heartbeats: periodic checks detect them soon enough.
     *
     * @param nowNanos the monotonic time
     * @return the earliest monotonic time at which a command falls due, empty if none is expected, never null
     */
    public OptionalLong nextDueNanos(long nowNanos) {
        LongStream.Builder delaysNanos = LongStream.builder();
        if (needsPoll()) {
            delaysNanos.add(nextPollNanos() - nowNanos);
        }
        known.nextStopNanos().forEach(next -> delaysNanos.add(next - nowNanos));
        runs.nextStopNanos().forEach(next -> delaysNanos.add(next - nowNanos));
        OptionalLong shortestDelayNanos = delaysNanos.build().min();
        return shortestDelayNanos.isEmpty() || isIncarnationTerminated()
                ? OptionalLong.empty()
                : OptionalLong.of(nowNanos + shortestDelayNanos.getAsLong());
    }

    private boolean isPollDue(long nowNanos) {
        return needsPoll() && nowNanos - nextPollNanos() >= 0;
    }

    private boolean needsPoll() {
        boolean needed = !polls.hasSucceeded() || !runs.isEmpty() || known.needsPoll();
        return needed && !polls.isInFlight();
    }

    /** Returns the earliest monotonic time of the next poll, which waits for terminations to be committed. */
    private long nextPollNanos() {
        return polls.nextNanos(known.awaitsCommit());
    }

    private HostCommand createPoll(long nowNanos) {
        // An unanswered start needs an immediate poll, whose response helps to show whether the run started.
        boolean immediate = !polls.hasSucceeded()
                || runs.isEmpty()
                || runs.hasUnansweredStart()
                || inferred.awaitsCompleteList()
                || known.needsImmediatePoll();
        Duration longestWait = polls.send(immediate, nowNanos);
        Duration maxWait = runs.timeUntilProof(nowNanos)
                .filter(untilProof -> untilProof.compareTo(longestWait) < 0)
                .orElse(longestWait);
        // Other commands without a response do not count: the lease of a host that answers polls must not expire.
        boolean renewsLease = !runs.isEmpty() && !polls.isUnanswered() && !isShutdownAnnounced();
        HostCommand.Poll poll = new HostCommand.Poll(
                host,
                token,
                renewsLease ? known.lease().renew(nowNanos) : 0,
                known.terminations().committedThrough(),
                maxWait.toMillis());
        polls.sent(poll);
        return poll;
    }

    /**
     * Handles the outcome of a command.
     *
     * @param command the command, not null
     * @param sentNanos when the command was sent, by the monotonic clock
     * @param response the response, or the reason why there was none, not null
     * @param nowNanos the monotonic time
     * @return the terminations that the response proves, to be committed to the log, never null
     */
    public List<RecordTermination> handleResponse(
            HostCommand command, long sentNanos, HostResponse response, long nowNanos) {
        boolean awaited = commandsInFlight.remove(command);
        boolean abandoned = command instanceof HostCommand.Poll poll && polls.recordOutcome(poll, awaited);
        if (abandoned && (response instanceof NoResponse || response instanceof HostResponse.NotSent)) {
            // A newer poll asks what is still to be known.
            return List.of();
        }
        switch (incarnation.senderOf(response, known.lease(), sentNanos, nowNanos)) {
            case CURRENT -> {}
            case IDENTIFIED -> onIdentified(sentNanos, nowNanos);
            case LATER -> onReborn(sentNanos, nowNanos);
            case EARLIER -> {
                return onOutdatedResponse(command, sentNanos, nowNanos);
            }
        }
        known.recordContact(response, nowNanos);
        return onResponse(command, sentNanos, response, nowNanos);
    }

    /** Handles the response of an incarnation that has ended; what it executed ended with it. */
    private List<RecordTermination> onOutdatedResponse(HostCommand command, long sentNanos, long nowNanos) {
        if (command instanceof HostCommand.Poll) {
            polls.recordOutdated(nowNanos);
            return List.of();
        }
        return onResponse(command, sentNanos, new NoResponse("the incarnation that responded has ended"), nowNanos);
    }

    private List<RecordTermination> onResponse(
            HostCommand command, long sentNanos, HostResponse response, long nowNanos) {
        return switch (command) {
            case HostCommand.Start start -> onStartResponse(start, response, nowNanos);
            case HostCommand.Stop stop -> {
                known.onStopResponse(stop.run(), response, nowNanos);
                yield List.of();
            }
            case HostCommand.Poll poll -> onPollResponse(poll, sentNanos, response, nowNanos);
            case HostCommand.Throttle throttle -> {
                known.onThrottleResponse(throttle, response, nowNanos);
                yield List.of();
            }
        };
    }

    /**
     * Discards what heartbeats and notices of other incarnations told before a response identified this one. A heartbeat that was received
     * before the command was sent is of one that has ended; another one may be of a later one, for which the host is polled again.
     */
    private void onIdentified(long sentNanos, long nowNanos) {
        HostLiveness liveness = known.liveness();
        liveness.discardNoticeOfOther(incarnation.startMillis());
        liveness.removeHeartbeatOfOther(incarnation.startMillis()).ifPresent(other -> {
            if (other.receivedNanos() - sentNanos <= 0) {
                incarnation.recordEnded(other.heartbeat().startMillis());
            } else {
                incarnation.keepUnconfirmed(other.heartbeat());
                polls.requireNew(nowNanos);
            }
        });
    }

    /**
     * Discards what is known of the incarnation that has terminated. The later incarnation may have executed a start that was
     * sent before its rebirth was known, and may still execute one without a response.
     */
    private void onReborn(long sentNanos, long nowNanos) {
        boolean announced = known.liveness().isLeaving();
        fenceNeeded = true;
        polls.requireNew(nowNanos);
        known = known.next(nowNanos);
        incarnation
                .removeConfirmedHeartbeat()
                .ifPresent(heartbeat -> known.liveness().handleHeartbeat(heartbeat, nowNanos));
        runs.forgetStopAcknowledgements(nowNanos);
        inferred.recordRebirth(announced, new TerminationEvidence.Reborn(incarnation.startMillis()), sentNanos);
    }

    private List<RecordTermination> onStartResponse(HostCommand.Start start, HostResponse response, long nowNanos) {
        List<RecordTermination> terminations = known.onStartResponse(start.run().run(), response, nowNanos);
        if (response instanceof NoResponse && runs.hasUnansweredStart()) {
            polls.hasten(nowNanos);
        }
        return terminations;
    }

    private List<RecordTermination> onPollResponse(
            HostCommand.Poll poll, long sentNanos, HostResponse response, long nowNanos) {
        if (!(response instanceof PollResult pollResult)) {
            polls.recordFailure(known.liveness().isUnresponsive(), nowNanos);
            return List.of();
        }
        polls.recordResponse(poll.maxWaitMillis() > 0, poll.token() == token, sentNanos, nowNanos);
        Set<RunId> reported = pollResult.reportedRuns();
        boolean complete =
                known.terminations().isComplete(pollResult.terminations().size());
        List<RecordTermination> terminations = new ArrayList<>(inferred.ofRebirth(reported, complete));
        inferred.hostIsAlive();
        boolean fenced = poll.token() == token && !fenceNeeded;
        terminations.addAll(known.receive(poll, pollResult, reported, fenced, nowNanos));
        terminations.addAll(inferred.ofUnreportedRuns(reported, complete, sentNanos));
        return terminations;
    }

    /**
     * Returns the terminations of runs that are certainly over although the host did not report it.
     *
     * @param nowNanos the monotonic time
     * @return the terminations, to be committed to the log, never null
     */
    public List<RecordTermination> inferTerminations(long nowNanos) {
        HostLiveness liveness = known.liveness();
        List<RecordTermination> terminations = new ArrayList<>(inferred.ofUnsentRuns(liveness));
        if (isIncarnationTerminated()) {
            terminations.addAll(inferred.ofReplacedIncarnation(liveness.isLeaving()));
        } else if (!runs.isEmpty()) {
            known.leaseExpiry(nowNanos)
                    .ifPresent(evidence -> terminations.addAll(inferred.ofExpiredLease(
                            evidence,
                            known.lease().hasExpiredForAnyIncarnation(nowNanos),
                            liveness.isShutdownAnnounced())));
        }
        return terminations;
    }

    /**
     * Returns what this session knows of the host and waits for.
     *
     * @param nowNanos the monotonic time
     * @return the status, for logs and metrics only, never null
     */
    public HostSessionStatus status(long nowNanos) {
        return new HostSessionStatus(
                host,
                runs.count(),
                known.lease().canBeRenewed(),
                polls.isInFlight(),
                known.liveness().isUnresponsive(),
                known.terminations().uncommittedCount(),
                TimeUnit.NANOSECONDS.toMillis(polls.nextNanos() - nowNanos),
                known.lease().latestExpiryInMillis(nowNanos),
                known.liveness().heartbeatAgeMillis(nowNanos),
                known.liveness().responseAgeMillis(nowNanos),
                isIncarnationTerminated() ? Optional.of(new TerminationEvidence.OtherLife()) : Optional.empty());
    }

    /**
     * Returns why no new runs are started on the host.
     *
     * @param nowNanos the monotonic time
     * @return the first reason, for logs only, or empty if {@link #acceptsRuns} is true, never null
     */
    public Optional<HostRefusal> refusal(long nowNanos) {
        return known.liveness()
                .refusal(nowNanos)
                .or(() ->
                        polls.hasSucceeded() && !fenceNeeded ? Optional.empty() : Optional.of(HostRefusal.NOT_POLLED));
    }
}
