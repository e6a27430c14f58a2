package org.nettlering.standins.worker;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.kohsuke.args4j.Option;
import org.nettlering.domain.time.SystemTime;
import org.nettlering.runtime.log.EventLogger;
import org.nettlering.standins.StandinCommand;
import org.nettlering.standins.StandinEvent;
import org.nettlering.standins.http.Addresses;
import org.nettlering.standins.journal.Journal;
import org.nettlering.wire.proto.TaskProto.Resources;

/** The sub-command {@code worker}. */
public final class WorkerCommandLine implements StandinCommand {
    private static final EventLogger LOGGER = EventLogger.of(WorkerCommandLine.class);

    /** The platform ports of the entries. */
    @Option(name = "--entries", required = true, metaVar = "IP:PORT,...", usage = "the platform ports of the entries")
    private String entries = "";

    /** The worker's name. */
    @Option(name = "--id", required = true, usage = "the name of the worker")
    private String id = "";

    /** The rack. */
    @Option(name = "--rack", usage = "the rack")
    private String rack = "rack-1";

    /** The failure domain. */
    @Option(name = "--failure-domain", usage = "the failure domain")
    private String failureDomain = "domain-1";

    /** The journal. */
    @Option(name = "--journal", required = true, metaVar = "FILE", usage = "where tasks that ran are recorded")
    private String journal = "";

    /** The cores. */
    @Option(name = "--millicores", usage = "the cores, in thousandths")
    private long millicores = 30_000;

    /** The memory. */
    @Option(name = "--memory-mebibytes", usage = "the memory")
    private long memoryMebibytes = 125_000;

    /** The accelerators. */
    @Option(name = "--accelerators", usage = "the accelerators")
    private int accelerators;

    /** The idle draw. */
    @Option(name = "--idle-milliwatts", usage = "the power drawn without tasks")
    private long idleMilliwatts = 100_000;

    @Override
    public int run() throws InterruptedException {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        SystemTime time = SystemTime.create("worker-timer");
        Resources capacity = Resources.newBuilder()
                .setMillicores(millicores)
                .setMemoryMebibytes(memoryMebibytes)
                .setAccelerators(accelerators)
                .build();
        WorkerProfile profile =
                new WorkerProfile(id, time.instant().toEpochMilli(), capacity, rack, failureDomain, idleMilliwatts);
        WorkerTasks tasks = WorkerTasks.create(time, profile, Journal.open(Path.of(journal))::append);
        LOGGER.log(StandinEvent.LISTENING, "worker", id, "no port");
        WorkerStandin.create(time, vertx, Addresses.parseList(entries), id, tasks)
                .start();
        new CountDownLatch(1).await();
        return 0;
    }
}
