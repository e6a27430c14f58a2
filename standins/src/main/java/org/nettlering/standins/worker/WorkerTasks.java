package org.nettlering.standins.worker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.ReentrantLock;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.standins.journal.JournalLine.PowerDrawn;
import org.nettlering.standins.journal.JournalLine.TaskEnded;
import org.nettlering.standins.journal.JournalLine.TaskStarted;
import org.nettlering.wire.proto.TaskProto.AcknowledgeEnd;
import org.nettlering.wire.proto.TaskProto.CheckpointTask;
import org.nettlering.wire.proto.TaskProto.EndReason;
import org.nettlering.wire.proto.TaskProto.EndedTask;
import org.nettlering.wire.proto.TaskProto.StartTask;
import org.nettlering.wire.proto.TaskProto.StopTask;
import org.nettlering.wire.proto.TaskProto.ThrottleTask;
import org.nettlering.wire.proto.TaskProto.Usage;
import org.nettlering.wire.proto.TaskProto.WorkerCommand;
import org.nettlering.wire.proto.TaskProto.WorkerReport;
import org.nettlering.wire.proto.TaskProto.WorkerReportResponse;

/**
 * The tasks of a worker stand-in: what it runs, under which lease, and what it reports.
 *
 * <p>The lease counts from when the report was sent that the response answers, by the monotonic clock; when it has run
 * out, every task ends. A command that arrives twice has one effect: a start for an epoch that is not higher than the
 * highest one seen for the job is ignored. Thread-safe; the recorder is called outside the lock.
 */
public final class WorkerTasks {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int UNDISTURBED_THOUSANDTHS = 1_000;

    /** Guards all fields below. */
    private final ReentrantLock lock = new ReentrantLock();

    /** The clock. */
    private final TimeSource time;

    /** Who reports. */
    private final WorkerProfile profile;

    /** Where starts, ends and draws of power are recorded. */
    private final WorkerRecorder recorder;

    /** The running tasks by job. */
    private final Map<String, RunningWork> running = new LinkedHashMap<>();

    /** The tasks that ended and are not acknowledged, by job and epoch. */
    private final Map<EndedKey, EndedTask> ended = new LinkedHashMap<>();

    /** The highest epoch seen for each job. */
    private final Map<String, Long> highestEpochs = new HashMap<>();

    /** What is to be recorded once the lock is released. */
    private final List<Runnable> records = new ArrayList<>();

    /** The number of the last report. */
    private long sequence;

    /** When the lease ends; meaningful only while {@link #leased} is true. */
    private long leaseEndNanos;

    /** Whether a response has ever granted a lease that has not run out. */
    private boolean leased;

    /** The power last recorded. */
    private long recordedMilliwatts = -1L;

    /**
     * Creates a worker without tasks and without a lease.
     *
     * @param time the clock, not null
     * @param profile who reports, not null
     * @param recorder where starts, ends and draws of power are recorded, not null
     * @return new tasks, never null
     */
    public static WorkerTasks create(TimeSource time, WorkerProfile profile, WorkerRecorder recorder) {
        return new WorkerTasks(time, profile, recorder);
    }

    private WorkerTasks(TimeSource time, WorkerProfile profile, WorkerRecorder recorder) {
        this.time = time;
        this.profile = profile;
        this.recorder = recorder;
    }

    /**
     * Returns the next report.
     *
     * @return the message to send at once, never null
     */
    public WorkerReport nextReport() {
        lock.lock();
        try {
            sequence++;
            WorkerReport.Builder report = WorkerReport.newBuilder()
                    .setWorkerId(profile.id())
                    .setIncarnation(profile.incarnation())
                    .setSequence(sequence)
                    .setCapacity(profile.capacity())
                    .setRack(profile.rack())
                    .setFailureDomain(profile.failureDomain())
                    .setIdleMilliwatts(profile.idleMilliwatts())
                    .addAllEnded(ended.values());
            for (RunningWork work : running.values()) {
                report.addRunning(work.toMessage());
                report.addUsage(usageOf(work));
            }
            return report.build();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Takes the response to a report: renews the lease and obeys the commands.
     *
     * @param sentNanos when the report was sent, by the monotonic clock
     * @param response the response, not null
     */
    public void accept(long sentNanos, WorkerReportResponse response) {
        List<Runnable> toRecord;
        lock.lock();
        try {
            expire();
            renew(sentNanos + response.getLeaseMillis() * NANOS_PER_MILLI);
            for (WorkerCommand command : response.getCommandsList()) {
                obey(command);
            }
            toRecord = takeRecords();
        } finally {
            lock.unlock();
        }
        toRecord.forEach(Runnable::run);
    }

    /**
     * Ends the tasks that are complete, and all of them if the lease has run out.
     *
     * @return the number of tasks that ended because the lease ran out
     */
    public int advance() {
        List<Runnable> toRecord;
        int expired;
        lock.lock();
        try {
            recordPower();
            expired = expire();
            long now = time.nanoTime();
            for (RunningWork work : List.copyOf(running.values())) {
                if (work.isCompleteAt(now)) {
                    end(work, EndReason.COMPLETED);
                }
            }
            toRecord = takeRecords();
        } finally {
            lock.unlock();
        }
        toRecord.forEach(Runnable::run);
        return expired;
    }

    private void renew(long endNanos) {
        if (leased && endNanos - leaseEndNanos <= 0) {
            return;
        }
        if (endNanos - time.nanoTime() <= 0) {
            return;
        }
        leaseEndNanos = endNanos;
        leased = true;
    }

    private int expire() {
        if (!leased || leaseEndNanos - time.nanoTime() > 0) {
            return 0;
        }
        leased = false;
        List<RunningWork> stopped = List.copyOf(running.values());
        stopped.forEach(work -> end(work, EndReason.LEASE_EXPIRED));
        return stopped.size();
    }

    private void obey(WorkerCommand command) {
        switch (command.getCommandCase()) {
            case START -> start(command.getStart());
            case STOP -> stop(command.getStop());
            case CHECKPOINT -> checkpoint(command.getCheckpoint());
            case THROTTLE -> throttle(command.getThrottle());
            case ACKNOWLEDGE -> acknowledge(command.getAcknowledge());
            case COMMAND_NOT_SET -> {}
        }
    }

    private void start(StartTask start) {
        String jobId = start.getJob().getJobId();
        if (!leased || start.getEpoch() <= highestEpochs.getOrDefault(jobId, 0L)) {
            return;
        }
        RunningWork former = running.get(jobId);
        if (former != null) {
            end(former, EndReason.STOPPED);
        }
        highestEpochs.put(jobId, start.getEpoch());
        long now = time.nanoTime();
        running.put(jobId, new RunningWork(start, now));
        records.add(() -> recorder.record(new TaskStarted(now, jobId, start.getEpoch())));
        recordPower();
    }

    private void stop(StopTask stop) {
        RunningWork work = running.get(stop.getJobId());
        if (work != null && work.epoch() == stop.getEpoch()) {
            end(work, EndReason.STOPPED);
            return;
        }
        if (stop.getEpoch() > highestEpochs.getOrDefault(stop.getJobId(), 0L)) {
            highestEpochs.put(stop.getJobId(), stop.getEpoch());
            putEnded(stop.getJobId(), stop.getEpoch(), EndReason.STOPPED, 0L);
        }
    }

    private void checkpoint(CheckpointTask checkpoint) {
        RunningWork work = running.get(checkpoint.getJobId());
        if (work != null && work.epoch() == checkpoint.getEpoch()) {
            work.checkpoint(time.nanoTime());
        }
    }

    private void throttle(ThrottleTask throttle) {
        RunningWork work = running.get(throttle.getJobId());
        if (work != null && work.epoch() == throttle.getEpoch()) {
            work.throttle(throttle, time.nanoTime());
            recordPower();
        }
    }

    private void acknowledge(AcknowledgeEnd acknowledge) {
        ended.remove(new EndedKey(acknowledge.getJobId(), acknowledge.getEpoch()));
    }

    private void end(RunningWork work, EndReason reason) {
        String jobId = work.job().getJobId();
        long now = time.nanoTime();
        running.remove(jobId);
        putEnded(jobId, work.epoch(), reason, work.checkpointSequence());
        records.add(() -> recorder.record(new TaskEnded(now, jobId, work.epoch(), reason.name())));
        recordPower();
    }

    private void putEnded(String jobId, long epoch, EndReason reason, long checkpointSequence) {
        EndedTask task = EndedTask.newBuilder()
                .setJobId(jobId)
                .setEpoch(epoch)
                .setReason(reason)
                .setCheckpointSequence(checkpointSequence)
                .build();
        ended.put(new EndedKey(jobId, epoch), task);
    }

    private void recordPower() {
        long milliwatts = profile.idleMilliwatts()
                + running.values().stream().mapToLong(RunningWork::milliwatts).sum();
        if (milliwatts == recordedMilliwatts) {
            return;
        }
        recordedMilliwatts = milliwatts;
        long now = time.nanoTime();
        records.add(() -> recorder.record(new PowerDrawn(now, milliwatts)));
    }

    private List<Runnable> takeRecords() {
        List<Runnable> taken = List.copyOf(records);
        records.clear();
        return taken;
    }

    private Usage usageOf(RunningWork work) {
        return Usage.newBuilder()
                .setJobId(work.job().getJobId())
                .setEpoch(work.epoch())
                .setMeasuredUnixMillis(time.instant().toEpochMilli())
                .setMillicores(work.millicores())
                .setMemoryMebibytes(work.job().getDeclared().getMemoryMebibytes())
                .setPowerMilliwatts(work.milliwatts())
                .setSlowdownThousandths(UNDISTURBED_THOUSANDTHS)
                .build();
    }

    /** Names an ended task. */
    private record EndedKey(String jobId, long epoch) {}
}
