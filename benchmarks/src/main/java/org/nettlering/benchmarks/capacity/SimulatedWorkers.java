package org.nettlering.benchmarks.capacity;

import io.vertx.core.net.SocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.nettlering.standins.http.Addresses;
import org.nettlering.standins.http.JsonClient;
import org.nettlering.standins.journal.JournalLine;
import org.nettlering.standins.site.EntryHost;
import org.nettlering.standins.site.LocalSite;
import org.nettlering.standins.worker.WorkerProfile;
import org.nettlering.standins.worker.WorkerStandin;
import org.nettlering.standins.worker.WorkerTasks;
import org.nettlering.wire.proto.TaskProto.Resources;

/**
 * Many worker stand-ins in one process, which share one HTTP client.
 *
 * <p>Not thread-safe.
 */
final class SimulatedWorkers {
    private static final int WORKERS_PER_RACK = 11;
    private static final int FAILURE_DOMAINS = 3;
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final Resources CAPACITY = Resources.newBuilder()
            .setMillicores(30_000)
            .setMemoryMebibytes(125_000)
            .build();

    /** The site that they report to. */
    private final LocalSite site;

    /** Sends all reports. */
    private final JsonClient client;

    /** The tasks that the workers started. */
    private final AtomicLong started = new AtomicLong();

    /** The workers that were started. */
    private final List<WorkerStandin> workers = new ArrayList<>();

    static SimulatedWorkers of(LocalSite site) {
        return new SimulatedWorkers(site);
    }

    private SimulatedWorkers(LocalSite site) {
        this.site = site;
        this.client = JsonClient.create(site.vertx(), TIMEOUT);
    }

    /** Starts more workers, up to a total. */
    void growTo(int total) {
        List<SocketAddress> entries = site.entries().stream()
                .map(EntryHost::platform)
                .map(Addresses::parse)
                .toList();
        while (workers.size() < total) {
            int number = workers.size();
            WorkerProfile profile = new WorkerProfile(
                    "worker-" + number,
                    1,
                    CAPACITY,
                    "rack-" + number / WORKERS_PER_RACK,
                    "domain-" + number % FAILURE_DOMAINS,
                    0);
            WorkerTasks tasks = WorkerTasks.create(site.time(), profile, this::count);
            WorkerStandin worker = WorkerStandin.sharing(site.time(), client, entries, profile.id(), tasks);
            workers.add(worker);
            worker.start();
        }
    }

    /** Returns the tasks that the workers started. */
    long started() {
        return started.get();
    }

    private void count(JournalLine line) {
        if (line instanceof JournalLine.TaskStarted) {
            started.incrementAndGet();
        }
    }

    /** Returns the responses that all workers got. */
    long responses() {
        return workers.stream().mapToLong(WorkerStandin::responses).sum();
    }

    void stop() {
        workers.forEach(WorkerStandin::stop);
    }
}
