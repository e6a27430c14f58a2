package org.nettlering.standins.demo;

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
final class DemoSite implements AutoCloseable {
    /** The service that the upstream stand-ins belong to. */
    static final String SERVICE = "portfolio";

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

    /** The journals of the stand-ins. */
    private final List<Path> journals = new ArrayList<>();

    /** The addresses that are still free. */
    private final FreePorts ports;

    /** The event loops of this process. */
    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(2));

    /** The timers of this process. */
    private final SystemTime time = SystemTime.create("demo-timer");

    static DemoSite create(int controlCount, int entryCount, int upstreamCount) {
        int portCount =
                controlCount * PORTS_PER_CONTROL + entryCount * PORTS_PER_ENTRY + upstreamCount * PORTS_PER_UPSTREAM;
        try {
            DemoSite site = new DemoSite(Files.createTempDirectory("nettlering-demo-"), FreePorts.find(portCount));
            site.plan(controlCount, entryCount);
            return site;
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    private DemoSite(Path folder, FreePorts ports) {
        this.folder = folder;
        this.ports = ports;
        this.group = ProcessGroup.create(folder);
    }

    Path folder() {
        return folder;
    }

    Vertx vertx() {
        return vertx;
    }

    SystemTime time() {
        return time;
    }

    List<EntryHost> entries() {
        return List.copyOf(entries);
    }

    List<ControlHost> controls() {
        return List.copyOf(controls);
    }

    List<SocketAddress> callerPorts() {
        return entries.stream().map(entry -> Addresses.parse(entry.callers())).toList();
    }

    SiteClient client() {
        return SiteClient.create(vertx, entries);
    }

    OperatorProgram operator() {
        return OperatorProgram.of(entries);
    }

    JournalCheck journals() {
        return JournalCheck.read(journals);
    }

    ManagedProcess process(String name) {
        ManagedProcess process = processes.get(name);
        if (process == null) {
            throw new IllegalArgumentException("process " + name + " was not started");
        }
        return process;
    }

    List<ManagedProcess> running() {
        return processes.values().stream()
                .filter(process -> process.process().isAlive())
                .toList();
    }

    void startControl(ControlHost host) {
        Path settings = SettingsFiles.writeControl(folder, host, controls);
        start(host.id(), Program.CONTROL, List.of("--settings", settings.toString()));
    }

    void startEntry(EntryHost host) {
        Path settings = SettingsFiles.writeEntry(folder, host, controls, entries);
        start(host.id(), Program.ENTRY, List.of("--settings", settings.toString()));
    }

    void startUpstream(String instance, String failureDomain, long delayMillis) {
        String control = ports.next();
        upstreamControls.put(instance, control);
        List<String> arguments = List.of(
                "upstream",
                "--listen",
                ports.next(),
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

    void startWorker(String id, String rack, String failureDomain) {
        List<String> arguments = List.of(
                "worker",
                "--entries",
                platformPorts(),
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

    /** Starts every control and entry, and returns how long it took until all entries were ready. */
    Duration startSystem() {
        controls.forEach(this::startControl);
        entries.forEach(this::startEntry);
        SiteClient client = client();
        return Waiting.until(
                "readiness of all entries",
                READY_LIMIT,
                () -> entries.stream().allMatch(entry -> client.answers(entry.operators(), "/ready")));
    }

    /** Stops a kind of process gracefully and returns the names of those that did not exit with 0. */
    List<String> stopGracefully(List<String> names) {
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
