package org.nettlering.benchmarks.consensus;

import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.management.ManagementFactory;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.nettlering.consensus.ConsensusNode;
import org.nettlering.consensus.ConsensusSettings;
import org.nettlering.consensus.MemberId;

/**
 * Measures commits, traffic, failover and restart of a group of three on the real disk.
 *
 * <p>The naive version is a file that is synced after each command. The group must commit at least as many commands a
 * second as that when they arrive together, and at least the task starts a second that the project builds towards.
 */
public final class ConsensusBenchmark {
    private static final int MEMBERS = 3;
    private static final int COMMAND_BYTES = 200;
    private static final int SINGLE_COMMITS = 300;
    private static final int GROUPED_COMMITS = 20_000;
    private static final int RESTART_ENTRIES = 100_000;
    private static final int RESTART_WINDOW = 512;
    private static final int IDLE_SECONDS = 5;
    private static final int FAILOVERS = 5;
    private static final long TARGET_COMMITS_PER_SECOND = 420;
    private static final int EXIT_BOUND_NOT_MET = 1;

    private ConsensusBenchmark() {}

    /**
     * Runs the benchmark.
     *
     * @param arguments none are used, not null
     * @return 0, or 1 when a bound is not met
     */
    public static int run(String[] arguments) {
        try {
            Path folder = Files.createTempDirectory("nettlering-consensus-bench");
            try {
                return measure(folder);
            } finally {
                delete(folder);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static int measure(Path folder) throws IOException {
        double naivePerSecond = measureNaive(folder.resolve("naive"));
        double groupedPerSecond = measureCommits(folder.resolve("commits"));
        measureFailover(folder.resolve("failover"));
        measureRestart(folder.resolve("restart"), "without a snapshot", largeLog());
        measureRestart(folder.resolve("snapshots"), "with snapshots", ConsensusSettings.DEFAULT);
        double bound = Math.max(naivePerSecond, TARGET_COMMITS_PER_SECOND);
        System.out.printf(
                Locale.ROOT, "bound: at least %.0f commits/s in groups, measured %.0f%n", bound, groupedPerSecond);
        return groupedPerSecond >= bound ? 0 : EXIT_BOUND_NOT_MET;
    }

    private static ConsensusSettings largeLog() {
        return ConsensusSettings.DEFAULT.withSnapshotLimits(1L << 40, 4_096, 256 * 1024);
    }

    /** Syncs one file after each command. */
    private static double measureNaive(Path file) throws IOException {
        Histogram latency = new Histogram(3);
        long start = System.nanoTime();
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE)) {
            for (int written = 0; written < SINGLE_COMMITS; written++) {
                long began = System.nanoTime();
                channel.write(ByteBuffer.allocate(COMMAND_BYTES));
                channel.force(false);
                latency.recordValue(System.nanoTime() - began);
            }
        }
        return report("naive file, one sync a command", SINGLE_COMMITS, System.nanoTime() - start, latency);
    }

    private static double measureCommits(Path folder) {
        try (MeasuredGroup group = new MeasuredGroup(folder, MEMBERS, ConsensusSettings.DEFAULT)) {
            group.startAll();
            group.awaitLeader();
            measureIdle(group);
            propose(group, GROUPED_COMMITS, 64, "");
            propose(group, SINGLE_COMMITS, 1, "three members, one by one");
            propose(group, GROUPED_COMMITS, 16, "three members, 16 at a time");
            propose(group, GROUPED_COMMITS, 64, "three members, 64 at a time");
            return propose(group, GROUPED_COMMITS, 512, "three members, 512 at a time");
        }
    }

    private static void measureIdle(MeasuredGroup group) {
        long messages = group.messages();
        long bytes = group.bytes();
        long processorNanos = processorNanos();
        LockSupport.parkNanos(TimeUnit.SECONDS.toNanos(IDLE_SECONDS));
        double memberSeconds = (double) IDLE_SECONDS * group.size();
        System.out.printf(
                Locale.ROOT,
                "idle: %.1f messages/s, %.0f bytes/s, %.2f ms of processor time a second, for each member%n",
                (group.messages() - messages) / memberSeconds,
                (group.bytes() - bytes) / memberSeconds,
                (processorNanos() - processorNanos) / memberSeconds / 1e6);
    }

    /** Proposes commands with a limit of open ones, and returns how many were committed a second. */
    private static double propose(MeasuredGroup group, int commands, int window, String name) {
        ConsensusNode leader = group.awaitLeader();
        Histogram latency = new ConcurrentHistogram(3);
        Semaphore open = new Semaphore(window);
        CountDownLatch done = new CountDownLatch(commands);
        long bytes = group.bytes();
        long processorNanos = processorNanos();
        long start = System.nanoTime();
        for (int proposed = 0; proposed < commands; proposed++) {
            open.acquireUninterruptibly();
            long began = System.nanoTime();
            var _ = leader.propose(new byte[COMMAND_BYTES]).whenComplete((result, failure) -> {
                latency.recordValue(System.nanoTime() - began);
                open.release();
                done.countDown();
            });
        }
        await(done);
        long elapsed = System.nanoTime() - start;
        if (name.isEmpty()) {
            return 0;
        }
        double perSecond = report(name, commands, elapsed, latency);
        System.out.printf(
                Locale.ROOT,
                "    for each commit: %.0f bytes sent by all members, %.0f us of processor time in all%n",
                (group.bytes() - bytes) / (double) commands,
                (processorNanos() - processorNanos) / 1e3 / commands);
        return perSecond;
    }

    private static void await(CountDownLatch done) {
        try {
            done.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void measureFailover(Path folder) {
        Histogram gap = new Histogram(3);
        for (int round = 0; round < FAILOVERS; round++) {
            Path own = folder.resolve(Integer.toString(round));
            try (MeasuredGroup group = new MeasuredGroup(own, MEMBERS, ConsensusSettings.DEFAULT)) {
                group.startAll();
                group.awaitLeader();
                long start = System.nanoTime();
                group.endLeader();
                group.awaitLeader().propose(new byte[COMMAND_BYTES]).join();
                gap.recordValue(System.nanoTime() - start);
            }
        }
        System.out.printf(
                Locale.ROOT,
                "time without a leader after a kill: median %.0f ms, longest of %d: %.0f ms%n",
                gap.getValueAtPercentile(50) / 1e6,
                FAILOVERS,
                gap.getMaxValue() / 1e6);
    }

    private static void measureRestart(Path folder, String name, ConsensusSettings settings) {
        try (MeasuredGroup group = new MeasuredGroup(folder, 1, settings)) {
            group.startAll();
            propose(group, RESTART_ENTRIES, RESTART_WINDOW, "");
        }
        long start = System.nanoTime();
        try (MeasuredGroup group = new MeasuredGroup(folder, 1, settings)) {
            group.start(MemberId.of("control-1"));
            long loaded = System.nanoTime();
            group.awaitLeader();
            System.out.printf(
                    Locale.ROOT,
                    "restart with %d entries %s: %.0f ms until loaded, %.0f ms until it leads%n",
                    RESTART_ENTRIES,
                    name,
                    (loaded - start) / 1e6,
                    (System.nanoTime() - start) / 1e6);
        }
    }

    private static double report(String name, int commands, long elapsedNanos, Histogram latency) {
        double perSecond = commands * 1e9 / elapsedNanos;
        System.out.printf(
                Locale.ROOT,
                "%s: %.0f commits/s, median %.2f ms, p99 %.2f ms%n",
                name,
                perSecond,
                latency.getValueAtPercentile(50) / 1e6,
                latency.getValueAtPercentile(99) / 1e6);
        return perSecond;
    }

    private static long processorNanos() {
        OperatingSystemMXBean system = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        return system.getProcessCpuTime();
    }

    private static void delete(Path folder) throws IOException {
        List<Path> files;
        try (Stream<Path> found = Files.walk(folder)) {
            files = found.sorted(Comparator.reverseOrder()).toList();
        }
        for (Path file : files) {
            Files.delete(file);
        }
    }
}
