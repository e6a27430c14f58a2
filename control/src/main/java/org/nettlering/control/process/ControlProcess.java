package org.nettlering.control.process;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.nettlering.consensus.ConsensusExecutors;
import org.nettlering.consensus.ConsensusListener;
import org.nettlering.consensus.ConsensusListener.LeaderChanged;
import org.nettlering.consensus.ConsensusListener.MembershipChanged;
import org.nettlering.consensus.ConsensusNode;
import org.nettlering.consensus.ConsensusPorts;
import org.nettlering.consensus.ConsensusSettings;
import org.nettlering.consensus.Member;
import org.nettlering.consensus.MemberId;
import org.nettlering.consensus.Membership;
import org.nettlering.consensus.storage.DiskFolder;
import org.nettlering.consensus.storage.FileLogStorage;
import org.nettlering.control.configuration.ConfigurationService;
import org.nettlering.control.consensus.ConsensusEvents;
import org.nettlering.control.consensus.GroupJoin;
import org.nettlering.control.consensus.LeadershipHistory;
import org.nettlering.control.consensus.MembershipService;
import org.nettlering.control.consensus.PeerConsensusTransport;
import org.nettlering.control.consensus.ReplicatedCommandLog;
import org.nettlering.control.consensus.VoterRemoval;
import org.nettlering.control.ledger.LedgerService;
import org.nettlering.control.log.CommandLog;
import org.nettlering.control.metrics.ControlMetrics;
import org.nettlering.control.metrics.MetricsServer;
import org.nettlering.control.service.FrameDispatcher;
import org.nettlering.control.service.LeaderHintHandler;
import org.nettlering.control.settings.ControlSettings;
import org.nettlering.control.settings.GroupStart;
import org.nettlering.control.task.TaskEvents;
import org.nettlering.control.task.TaskService;
import org.nettlering.control.trace.TracingFrameHandler;
import org.nettlering.control.workflow.HostCommandSender;
import org.nettlering.control.workflow.LoopMetrics;
import org.nettlering.control.workflow.LoopWatchdog;
import org.nettlering.control.workflow.WorkflowLoop;
import org.nettlering.control.workflow.WorkflowService;
import org.nettlering.control.workflow.WorkflowStateMachine;
import org.nettlering.domain.placement.ScoredPlanner;
import org.nettlering.domain.time.SystemTime;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.runtime.log.LogOutput;
import org.nettlering.runtime.metrics.Metrics;
import org.nettlering.runtime.program.Daemon;
import org.nettlering.runtime.program.ExitCode;
import org.nettlering.runtime.trace.Telemetry;
import org.nettlering.wire.transport.ControlGateway;
import org.nettlering.wire.transport.LeaderControlGateway;
import org.nettlering.wire.transport.NettyPeerServer;
import org.nettlering.wire.transport.PeerNetwork;
import org.nettlering.wire.transport.TransportCounters;
import org.nettlering.wire.transport.TransportLimits;

/**
 * A running control process.
 *
 * <p>Stopping hands leadership over first, so that a planned stop costs no election timeout. Thread-safe.
 */
public final class ControlProcess implements Daemon.Running<ControlSettings> {
    private static final String PROGRAM = "nettlering-control";

    /** How long a planned stop waits for another member to take over, in seconds. */
    private static final long HAND_OVER_TIMEOUT_SECONDS = 3;

    /** How long one attempt to reach the leader takes at most. */
    private static final Duration ATTEMPT_LIMIT = Duration.ofMillis(700);

    /** The members that the settings name. */
    private final List<Member> settingsMembers;

    /** The members that the group named when this process last asked it, known without a log. */
    private volatile List<Member> namedMembers = List.of();

    /** The clock and the timers. */
    private final SystemTime time;

    /** Starts the spans. */
    private final Telemetry telemetry;

    /** The connections to other processes. */
    private final PeerNetwork network;

    /** What the process shows at its metrics address. */
    private final Metrics metrics = Metrics.create();

    /** The replicated log. */
    private final ConsensusNode node;

    /** The scheduling loop. */
    private final TaskService tasks;

    /** Runs the loop that starts the tasks of jobs; what is asked for after its end is dropped. */
    private final ExecutorService workflowThread = new ThreadPoolExecutor(
            1,
            1,
            0,
            TimeUnit.SECONDS,
            new LinkedBlockingQueue<>(),
            Thread.ofPlatform().daemon(true).name("workflow-loop").factory(),
            new ThreadPoolExecutor.DiscardPolicy());

    /** The loop that starts the tasks of jobs of steps. */
    private final WorkflowLoop workflow;

    /** The timers of the watchdog, which nothing else uses. */
    private final SystemTime watchdogTime = SystemTime.create("loop-watchdog");

    /** Reports when the loop stands still. */
    private final LoopWatchdog watchdog;

    /** The way to the leader, this process included. */
    private final ControlGateway gateway;

    /** Asks the group to take this member in, or null if only operators add members. */
    private final @Nullable GroupJoin join;

    /** Removes voters that are gone from the group, or null if only operators do. */
    private final @Nullable VoterRemoval voterRemoval;

    /** Accepts connections. */
    private final NettyPeerServer server;

    /** Serves metrics. */
    private final MetricsServer metricsServer;

    /**
     * Starts a control process.
     *
     * @param settings the checked settings, not null
     * @return the running process, never null
     * @throws org.nettlering.domain.error.NettleringException if the data folder is in use, damaged or too new, or an
     *     address cannot be bound
     */
    public static ControlProcess start(ControlSettings settings) {
        return start(
                settings,
                time -> Telemetry.create(PROGRAM, settings.identity().processId(), settings.telemetry(), time),
                registry -> HostCommandSender.unreachable());
    }

    /**
     * Starts a control process that sends orders to hosts.
     *
     * @param settings the checked settings, not null
     * @param orders makes the way to the hosts, which shows its metrics in the registry, not null
     * @return the running process, never null
     */
    public static ControlProcess startWithHosts(
            ControlSettings settings, Function<PrometheusRegistry, HostCommandSender> orders) {
        return start(
                settings,
                time -> Telemetry.create(PROGRAM, settings.identity().processId(), settings.telemetry(), time),
                orders);
    }

    /**
     * Starts a control process whose spans go elsewhere than its settings say.
     *
     * @param settings the checked settings, not null
     * @param telemetry makes what starts the spans, not null
     * @return the running process, never null
     */
    public static ControlProcess start(ControlSettings settings, Function<TimeSource, Telemetry> telemetry) {
        return start(settings, telemetry, registry -> HostCommandSender.unreachable());
    }

    private static ControlProcess start(
            ControlSettings settings,
            Function<TimeSource, Telemetry> telemetry,
            Function<PrometheusRegistry, HostCommandSender> orders) {
        return new ControlProcess(settings, telemetry, orders);
    }

    private ControlProcess(
            ControlSettings settings,
            Function<TimeSource, Telemetry> telemetryFactory,
            Function<PrometheusRegistry, HostCommandSender> orders) {
        MemberId self = MemberId.of(settings.identity().processId());
        settingsMembers = initialMembers(settings);
        time = SystemTime.create("control-timers");
        telemetry = telemetryFactory.apply(time);
        network = PeerNetwork.create(
                settings.identity(),
                TransportLimits.defaults(),
                time,
                TransportCounters.registerIn(metrics.registry()));
        LoopMetrics measures = LoopMetrics.registerIn(metrics.registry(), time);
        SiteParts parts =
                SiteParts.create(WorkflowStateMachine.withLockTiming(time::nanoTime, measures::recordLockWait));
        PeerConsensusTransport transport =
                PeerConsensusTransport.of(self, MemberPeers.of(this::findMember, network::peer));
        LeaderControlGateway others =
                LeaderControlGateway.connecting(addresses(settings), network::peer, time, ATTEMPT_LIMIT);
        LeadershipHistory history =
                LeadershipHistory.of(time, informing(others, ConsensusEvents.logging(ControlProcess::endWithFailure)));
        ConsensusPorts ports = new ConsensusPorts(
                time,
                FileLogStorage.open(DiskFolder.open(settings.dataFolder()), self),
                transport,
                parts.stateMachine(),
                history,
                ConsensusExecutors.create(self),
                RandomGenerator.getDefault());
        List<Member> founders = settings.groupStart().founds() ? settingsMembers : List.of();
        node = ConsensusNode.create(self, founders, ConsensusSettings.DEFAULT, ports);
        ReplicatedCommandLog log = ReplicatedCommandLog.of(node);
        tasks = startTasks(log, parts);
        workflow = WorkflowLoop.startOn(
                workflowThread,
                log,
                parts.workflow(),
                time,
                orders.apply(metrics.registry()),
                settings.hostLimits(),
                settings.workflowOptions(),
                measures);
        watchdog = LoopWatchdog.start(watchdogTime, measures);
        FrameDispatcher dispatcher = FrameDispatcher.of(
                frame -> transport.deliver(frame, node),
                ConfigurationService.of(log, parts.configuration(), time),
                tasks,
                LedgerService.of(log, parts.ledger(), time),
                MembershipService.of(node, history),
                WorkflowService.of(log, parts.workflow(), workflow, time));
        gateway = new OwnOrLeaderGateway(log, dispatcher, others, time);
        node.start();
        server = network.listen(
                settings.peersAddress(),
                TracingFrameHandler.of(
                        LeaderHintHandler.of(dispatcher, this::leader, settings.advertised()), telemetry));
        ControlMetrics.register(metrics.registry(), node, parts.configuration().state());
        metricsServer = MetricsServer.start(
                settings.metricsAddress(), metrics, () -> node.leader().isPresent(), time);
        GroupStart groupStart = settings.groupStart();
        join = groupStart.joins()
                ? GroupJoin.start(node, self(self, settings), others, this::rememberNamedMembers, time)
                : null;
        voterRemoval = groupStart.joins() ? VoterRemoval.start(node, groupStart.toleratedLosses(), time) : null;
    }

    private static Member self(MemberId id, ControlSettings settings) {
        InetSocketAddress address = settings.peersAddress();
        return Member.learner(
                id,
                address.getHostString() + ":" + address.getPort(),
                settings.identity().failureDomain());
    }

    private static Map<String, InetSocketAddress> addresses(ControlSettings settings) {
        Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
        settings.members().forEach((id, member) -> addresses.put(id, member.address()));
        return addresses;
    }

    /** Returns a listener that also informs the way to the other members of those in the log, and of the leader. */
    private static ConsensusListener informing(LeaderControlGateway others, ConsensusListener next) {
        return event -> {
            if (event instanceof MembershipChanged changed) {
                others.setPresentMembers(addresses(changed.membership()));
            }
            if (event instanceof LeaderChanged changed) {
                others.setBelievedLeader(changed.leader().value());
            }
            next.onEvent(event);
        };
    }

    private static Map<String, String> addresses(Membership membership) {
        Map<String, String> addresses = new LinkedHashMap<>();
        membership.members().forEach(member -> addresses.put(member.id().value(), member.address()));
        return addresses;
    }

    private TaskService startTasks(CommandLog log, SiteParts parts) {
        return TaskService.start(
                log,
                parts.tasks(),
                time,
                parts.configuration().state()::current,
                ScoredPlanner::create,
                TaskEvents.logging());
    }

    /**
     * Returns where the process listens for the others.
     *
     * @return the address with the port that was bound, never null
     */
    public InetSocketAddress peersAddress() {
        return server.address();
    }

    /**
     * Returns where the metrics of the process are registered.
     *
     * @return the registry, never null
     */
    public PrometheusRegistry registry() {
        return metrics.registry();
    }

    /**
     * Returns the way to the leader, which may be this process itself.
     *
     * @return the way to the leader, never null
     */
    public ControlGateway gateway() {
        return gateway;
    }

    /** Ends the process at once: a member whose disk has failed must neither answer nor look alive. */
    private static void endWithFailure() {
        LogOutput.flush();
        Runtime.getRuntime().halt(ExitCode.FAILURE.number());
    }

    /** Hands leadership over, then stops everything in the reverse order of its start. */
    @Override
    public void stop() {
        if (join != null) {
            join.close();
        }
        if (voterRemoval != null) {
            voterRemoval.close();
        }
        handLeadershipOver();
        metricsServer.close();
        server.close();
        tasks.close();
        watchdog.close();
        watchdogTime.close();
        workflow.close();
        workflowThread.shutdown();
        node.close();
        network.close();
        telemetry.close();
        time.close();
    }

    private void handLeadershipOver() {
        if (!node.isReadyLeader()) {
            return;
        }
        node.transferLeadership(Optional.empty())
                .completeOnTimeout(null, HAND_OVER_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .exceptionally(failure -> null)
                .join();
    }

    private Optional<Member> leader() {
        return node.leader().flatMap(this::findMember);
    }

    /** Looks in the current membership, then at what a member without a log has: the group's own word and the settings. */
    private Optional<Member> findMember(MemberId id) {
        return node.status()
                .flatMap(status -> status.membership().find(id))
                .or(() -> findMember(id, namedMembers))
                .or(() -> findMember(id, settingsMembers));
    }

    private static Optional<Member> findMember(MemberId id, List<Member> members) {
        return members.stream().filter(member -> member.id().equals(id)).findFirst();
    }

    private void rememberNamedMembers(List<Member> members) {
        namedMembers = List.copyOf(members);
    }

    private static List<Member> initialMembers(ControlSettings settings) {
        return settings.members().values().stream()
                .map(member -> new Member(
                        MemberId.of(member.id()),
                        member.address().getHostString() + ":"
                                + member.address().getPort(),
                        member.failureDomain(),
                        0L,
                        true))
                .toList();
    }
}
