package org.nettlering.standins.worker;

import io.vertx.core.Vertx;
import io.vertx.core.net.SocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.runtime.log.EventLogger;
import org.nettlering.standins.StandinEvent;
import org.nettlering.standins.http.JsonClient;
import org.nettlering.wire.proto.TaskProto.WorkerReport;
import org.nettlering.wire.proto.TaskProto.WorkerReportResponse;

/**
 * Sends a worker's reports to one entry after the other and gives the responses to its {@link WorkerTasks}.
 *
 * <p>At most one report is on its way; one that is not answered within its timeout counts as lost, and the next one goes
 * to the next entry. Thread-safe.
 */
public final class WorkerStandin {
    private static final Duration FIRST_INTERVAL = Duration.ofSeconds(1);
    private static final Duration REPORT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration ADVANCE_INTERVAL = Duration.ofMillis(20);
    private static final String PATH = "/v1/worker-reports";

    private static final EventLogger LOGGER = EventLogger.of(WorkerStandin.class);

    /** The clock and its timers. */
    private final TimeSource time;

    /** Sends the reports. */
    private final JsonClient client;

    /** The platform ports of the entries. */
    private final List<SocketAddress> entries;

    /** The name of the worker. */
    private final String workerId;

    /** What runs. */
    private final WorkerTasks tasks;

    /** The position of the entry that gets the next report. */
    private volatile int entry;

    /** Whether the stand-in has been stopped. */
    private volatile boolean stopped;

    /** The responses that arrived. */
    private final AtomicLong responses = new AtomicLong();

    /** The time between two reports. */
    private volatile Duration interval = FIRST_INTERVAL;

    /**
     * Creates a stand-in that does nothing until it is started.
     *
     * @param time the clock, not null
     * @param vertx the event loops to use, not null
     * @param entries the platform ports of the entries, at least one, not null
     * @param workerId the name of the worker, not null
     * @param tasks what it runs, not null
     * @return a new stand-in, never null
     */
    public static WorkerStandin create(
            TimeSource time, Vertx vertx, List<SocketAddress> entries, String workerId, WorkerTasks tasks) {
        return new WorkerStandin(time, JsonClient.create(vertx, REPORT_TIMEOUT), entries, workerId, tasks);
    }

    /**
     * Creates a stand-in that shares its HTTP client with others.
     *
     * @param time the clock, not null
     * @param client sends the reports, not null
     * @param entries the platform ports of the entries, at least one, not null
     * @param workerId the name of the worker, not null
     * @param tasks what it runs, not null
     * @return a new stand-in, never null
     */
    public static WorkerStandin sharing(
            TimeSource time, JsonClient client, List<SocketAddress> entries, String workerId, WorkerTasks tasks) {
        return new WorkerStandin(time, client, entries, workerId, tasks);
    }

    private WorkerStandin(
            TimeSource time, JsonClient client, List<SocketAddress> entries, String workerId, WorkerTasks tasks) {
        this.time = time;
        this.client = client;
        this.entries = List.copyOf(entries);
        this.workerId = workerId;
        this.tasks = tasks;
    }

    /** Starts to report and to run tasks. */
    public void start() {
        report();
        advance();
    }

    /** Stops to report and to run tasks, as if the worker had lost its power. */
    public void stop() {
        stopped = true;
    }

    /**
     * Returns the number of responses so far.
     *
     * @return zero or more
     */
    public long responses() {
        return responses.get();
    }

    private void advance() {
        if (stopped) {
            return;
        }
        int expired = tasks.advance();
        if (expired > 0) {
            LOGGER.log(StandinEvent.LEASE_EXPIRED, workerId, expired);
        }
        time.schedule(ADVANCE_INTERVAL, this::advance);
    }

    private void report() {
        if (stopped) {
            return;
        }
        SocketAddress target = entries.get(entry);
        WorkerReport report = tasks.nextReport();
        long sentNanos = time.nanoTime();
        client.post(target, PATH, report).onComplete(answer -> {
            if (answer.failed()) {
                LOGGER.log(
                        StandinEvent.REPORT_FAILED,
                        target,
                        workerId,
                        String.valueOf(answer.cause().getMessage()));
                entry = (entry + 1) % entries.size();
            } else {
                take(sentNanos, answer.result());
            }
            time.schedule(interval, this::report);
        });
    }

    private void take(long sentNanos, String json) {
        responses.incrementAndGet();
        WorkerReportResponse response =
                JsonClient.read(json, WorkerReportResponse.newBuilder()).build();
        tasks.accept(sentNanos, response);
        if (response.getReportIntervalMillis() > 0) {
            interval = Duration.ofMillis(response.getReportIntervalMillis());
        }
    }
}
