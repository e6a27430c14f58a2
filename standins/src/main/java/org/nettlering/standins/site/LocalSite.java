package org.nettlering.standins.site;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.net.SocketAddress;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.nettlering.domain.time.SystemTime;
import org.nettlering.standins.http.Addresses;
import org.nettlering.standins.journal.JournalCheck;

/**
 * A whole site on loopback: controls, entries, upstream and worker stand-ins, each a process of its own.
 *
 * <p>The settings, data folders, journals and logs lie in one temporary folder. Closing the site kills what still runs.
 * Not thread-safe.
 */
public final class LocalSite implements AutoCloseable {
    /** The service that the upstream stand-ins belong to. */
    public static final String SERVICE = "portfolio";

    private static final int PORTS_PER_CONTROL = 2;
    private static final int PORTS_PER_ENTRY = 4;
    private static final int PORTS_PER_UPSTREAM = 2;
    private static final Duration READY_LIMIT = Duration.ofSeconds(40);
    private static final Duration STOP_LIMIT = Duration.ofSeconds(20);

    /** Where everything is written. */
    private final Path folder;

    /** The processes. */
    private final ProcessGroup group;

    /** The running processes by name. */
    private final Map<String, ManagedProcess> processes = new LinkedHashMap<>();

    /** The control hosts. */
    private final List<ControlHost> controls = new ArrayList<>();

    /** The entry hosts. */
    private final List<EntryHost> entries = new ArrayList<>();

    /** The control ports of the upstream stand-ins by instance. */
    private final Map<String, String> upstreamControls = new LinkedHashMap<>();

    /** Where the upstream stand-ins take requests, by instance. */
    private final Map<String, String> upstreamAddresses = new LinkedHashMap<>();

    /** Where entries reach control members, if not at their own addresses. */
    private final Map<String, String> controlAddresses = new LinkedHashMap<>();

    /** The journals of the stand-ins. */
    private final List<Path> journals = new ArrayList<>();

    /** The addresses that are still free. */
    private final FreePorts ports;

    /** The event loops of this process. */
    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(2));

    /** The timers of this process. */
    private final SystemTime time = SystemTime.create("demo-timer");

    /**
     * Plans a site and starts nothing.
     *
     * @param controlCount the control processes
     * @param entryCount the entry processes
     * @param upstreamCount the most upstream stand-ins
     * @return a new site, never null
     */
    public static LocalSite create(int controlCount, int entryCount, int upstreamCount) {
        int portCount =
                controlCount * PORTS_PER_CONTROL + entryCount * PORTS_PER_ENTRY + upstreamCount * PORTS_PER_UPSTREAM;
        try {
            LocalSite site = new LocalSite(Files.createTempDirectory("nettlering-demo-"), FreePorts.find(portCount));
            site.plan(controlCount, entryCount);
            return site;
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    private LocalSite(Path folder, FreePorts ports) {
        this.folder = folder;
        this.ports = ports;
        this.group = ProcessGroup.create(folder);
    }

    /**
     * Returns where everything is written.
     *
     * @return the temporary folder, never null
     */
    public Path folder() {
        return folder;
    }

    /**
     * Returns the event loops of this process.
     *
     * @return the event loops, never null
     */
    public Vertx vertx() {
        return vertx;
    }

    /**
     * Returns the clock of this process.
     *
     * @return the clock, never null
     */
    public SystemTime time() {
        return time;
    }

    /**
     * Returns the entry hosts.
     *
     * @return a copy, never null
     */
    public List<EntryHost> entries() {
        return List.copyOf(entries);
    }

    /**
     * Returns the control hosts.
     *
     * @return a copy, never null
     */
    public List<ControlHost> controls() {
        return List.copyOf(controls);
    }

    /**
     * Returns the callers' ports of the entries.
     *
     * @return the addresses, never null
     */
    public List<SocketAddress> callerPorts() {
        return entries.stream().map(entry -> Addresses.parse(entry.callers())).toList();
    }

    /**
     * Returns a client for the operators' ports.
     *
     * @return a new client, never null
     */
    public SiteClient client() {
        return SiteClient.create(vertx, entries);
    }

    /**
     * Returns the operators' program for this site.
     *
     * @return the program, never null
     */
    public OperatorProgram operator() {
        return OperatorProgram.of(entries);
    }

    /**
     * Reads what the stand-ins ran so far.
     *
     * @return the check of all journals, never null
     */
    public JournalCheck journals() {
        return JournalCheck.read(journals);
    }

    /**
     * Returns a process that was started.
     *
     * @param name such as {@code entry-1}, not null
     * @return the process that was last started under the name, never null
     * @throws IllegalArgumentException if none was started
     */
    public ManagedProcess process(String name) {
        return known(processes, name);
    }

    /**
     * Returns where an upstream stand-in takes requests.
     *
     * @param instance its name, not null
     * @return {@code IP:PORT}, never null
     * @throws IllegalArgumentException if it was not started
     */
    public String upstreamAddress(String instance) {
        return known(upstreamAddresses, instance);
    }

    /**
     * Returns where the behaviour of an upstream stand-in is set.
     *
     * @param instance its name, not null
     * @return {@code IP:PORT}, never null
     * @throws IllegalArgumentException if it was not started
     */
    public String upstreamControl(String instance) {
        return known(upstreamControls, instance);
    }

    /**
     * Returns the processes that run now.
     *
     * @return the processes in the order of their start, never null
     */
    public List<ManagedProcess> running() {
        return processes.values().stream()
                .filter(process -> process.process().isAlive())
                .toList();
    }

    /**
     * Lets entries reach control members at other addresses than their own, such as those of relays; members advertise them.
     *
     * @param addresses {@code IP:PORT} by member id, not null
     */
    public void useControlAddresses(Map<String, String> addresses) {
        controlAddresses.putAll(addresses);
    }

    /**
     * Starts a control process on its data folder.
     *
     * @param host one of {@link #controls()}, not null
     */
    public void startControl(ControlHost host) {
        Path settings = SettingsFiles.writeControl(folder, host, controls, controlAddresses);
        start(host.id(), Program.CONTROL, List.of("--settings", settings.toString()));
    }

    /**
     * Starts an entry process.
     *
     * @param host one of {@link #entries()}, not null
     */
    public void startEntry(EntryHost host) {
        Path settings = SettingsFiles.writeEntry(folder, host, reachableControls(), entries);
        start(host.id(), Program.ENTRY, List.of("--settings", settings.toString()));
    }

    /**
     * Starts an upstream stand-in of {@link #SERVICE}.
     *
     * @param instance its name, not null
     * @param failureDomain its failure domain, not null
     * @param delayMillis the time to its answers in milliseconds
     */
    public void startUpstream(String instance, String failureDomain, long delayMillis) {
        String listen = ports.next();
        String control = ports.next();
        upstreamControls.put(instance, control);
        upstreamAddresses.put(instance, listen);
        List<String> arguments = List.of(
                "upstream",
                "--listen",
                listen,
                "--control",
                control,
                "--entries",
                platformPorts(),
                "--service",
                SERVICE,
                "--instance",
                instance,
                "--failure-domain",
                failureDomain,
                "--journal",
                journal(instance).toString(),
                "--delay-millis",
                Long.toString(delayMillis));
        start(instance, Program.STANDIN, arguments);
    }

    /**
     * Starts a worker stand-in.
     *
     * @param id its name, not null
     * @param rack its rack, not null
     * @param failureDomain its failure domain, not null
     */
    public void startWorker(String id, String rack, String failureDomain) {
        startWorker(id, rack, failureDomain, platformPorts());
    }

    /**
     * Starts a worker stand-in that reaches the entries at other addresses than their own, such as a relay's.
     *
     * @param id its name, not null
     * @param rack its rack, not null
     * @param failureDomain its failure domain, not null
     * @param platformPorts the addresses, separated by commas, not null
     */
    public void startWorker(String id, String rack, String failureDomain, String platformPorts) {
        List<String> arguments = List.of(
                "worker",
                "--entries",
                platformPorts,
                "--id",
                id,
                "--rack",
                rack,
                "--failure-domain",
                failureDomain,
                "--journal",
                journal(id).toString());
        start(id, Program.STANDIN, arguments);
    }

    /**
     * Starts every control and entry.
     *
     * @return how long it took until all entries were ready, never null
     * @throws org.nettlering.domain.error.NettleringException with {@code DEADLINE_EXCEEDED} if they are not ready in time
     */
    public Duration startSystem() {
        controls.forEach(this::startControl);
        entries.forEach(this::startEntry);
        SiteClient client = client();
        return Waiting.until(
                "readiness of all entries",
                READY_LIMIT,
                () -> entries.stream().allMatch(entry -> client.answers(entry.operators(), "/ready")));
    }

    /**
     * Stops processes gracefully.
     *
     * @param names the processes; those that have ended are passed over, not null
     * @return the names of those that did not exit with 0, never null
     */
    public List<String> stopGracefully(List<String> names) {
        List<ManagedProcess> stopping = names.stream()
                .map(this::process)
                .filter(process -> process.process().isAlive())
                .toList();
        stopping.forEach(ManagedProcess::terminate);
        return stopping.stream()
                .filter(process ->
                        !process.awaitExit(STOP_LIMIT) || process.process().exitValue() != 0)
                .map(ManagedProcess::name)
                .toList();
    }

    @Override
    public void close() {
        group.close();
        time.close();
        vertx.close().await();
    }

    private List<ControlHost> reachableControls() {
        return controls.stream()
                .map(host -> host.withPeers(controlAddresses.getOrDefault(host.id(), host.peers())))
                .toList();
    }

    private static <T> T known(Map<String, T> things, String name) {
        T thing = things.get(name);
        if (thing == null) {
            throw new IllegalArgumentException(name + " was not started");
        }
        return thing;
    }

    private void plan(int controlCount, int entryCount) {
        for (int number = 1; number <= controlCount; number++) {
            String id = "control-" + number;
            controls.add(
                    new ControlHost(id, "domain-" + number, ports.next(), ports.next(), folder.resolve(id + "-data")));
        }
        for (int number = 1; number <= entryCount; number++) {
            entries.add(new EntryHost(
                    "entry-" + number, "domain-" + number, ports.next(), ports.next(), ports.next(), ports.next()));
        }
    }

    private void start(String name, Program program, List<String> arguments) {
        processes.put(name, group.start(name, program, arguments));
    }

    private Path journal(String name) {
        Path journal = folder.resolve(name + ".journal");
        if (!journals.contains(journal)) {
            journals.add(journal);
        }
        return journal;
    }

    private String platformPorts() {
        return String.join(",", entries.stream().map(EntryHost::platform).toList());
    }
}
