package org.nettlering.standins.journal;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.nettlering.standins.journal.JournalLine.PowerDrawn;
import org.nettlering.standins.journal.JournalLine.RequestRan;
import org.nettlering.standins.journal.JournalLine.TaskEnded;
import org.nettlering.standins.journal.JournalLine.TaskStarted;

/**
 * Compares the journals of the stand-ins with the promises.
 *
 * <p>Each journal belongs to one process. A task without an end in its journal counts as running up to the journal's last
 * line, since its process was killed. Immutable and thread-safe.
 */
public final class JournalCheck {
    /** The journals, one list a process. */
    private final List<List<JournalLine>> journals;

    /**
     * Checks lines.
     *
     * @param journals the lines of each process, not null
     * @return the check, never null
     */
    public static JournalCheck of(Collection<List<JournalLine>> journals) {
        return new JournalCheck(journals.stream().map(List::copyOf).toList());
    }

    /**
     * Checks files.
     *
     * @param paths the journal of each process, not null
     * @return the check, never null
     * @throws UncheckedIOException if a file cannot be read
     */
    public static JournalCheck read(Collection<Path> paths) {
        return new JournalCheck(paths.stream().map(JournalCheck::readOne).toList());
    }

    private JournalCheck(List<List<JournalLine>> journals) {
        this.journals = journals;
    }

    /**
     * Returns the keys that ran more than once.
     *
     * @return the keys, never null
     */
    public Set<String> duplicateKeys() {
        Set<String> seen = new HashSet<>();
        Set<String> duplicates = new HashSet<>();
        for (RequestRan line : linesOf(RequestRan.class)) {
            if (!"-".equals(line.key()) && !seen.add(line.key())) {
                duplicates.add(line.key());
            }
        }
        return duplicates;
    }

    /**
     * Returns the keys that ran.
     *
     * @return the keys, never null
     */
    public Set<String> keysThatRan() {
        Set<String> keys = new HashSet<>();
        linesOf(RequestRan.class).forEach(line -> keys.add(line.key()));
        return keys;
    }

    /**
     * Returns the attempts that ran although their caller was told that they did not.
     *
     * @param notRunAttempts what callers were told, not null
     * @return the attempts that ran, never null
     */
    public Set<String> ranDespiteNotRun(Set<String> notRunAttempts) {
        Set<String> attempts = new HashSet<>();
        linesOf(RequestRan.class).forEach(line -> attempts.add(line.attempt()));
        attempts.retainAll(notRunAttempts);
        return attempts;
    }

    /**
     * Returns the jobs that two processes ran at one time, or one process ran twice under one epoch.
     *
     * @return the jobs, never null
     */
    public Set<String> overlappingJobs() {
        Map<String, List<Run>> runsByJob = new HashMap<>();
        journals.stream()
                .flatMap(journal -> runsOf(journal).stream())
                .forEach(run -> runsByJob
                        .computeIfAbsent(run.jobId(), job -> new ArrayList<>())
                        .add(run));
        Set<String> overlapping = new HashSet<>();
        runsByJob.forEach((jobId, runs) -> {
            if (isOverlapping(runs)) {
                overlapping.add(jobId);
            }
        });
        return overlapping;
    }

    /**
     * Returns the jobs that were completed more than once.
     *
     * @return the jobs, never null
     */
    public Set<String> jobsCompletedTwice() {
        Set<String> seen = new HashSet<>();
        Set<String> duplicates = new HashSet<>();
        for (TaskEnded line : linesOf(TaskEnded.class)) {
            if ("COMPLETED".equals(line.reason()) && !seen.add(line.jobId())) {
                duplicates.add(line.jobId());
            }
        }
        return duplicates;
    }

    /**
     * Returns the jobs that were completed.
     *
     * @return the jobs, never null
     */
    public Set<String> completedJobs() {
        Set<String> completed = new HashSet<>();
        linesOf(TaskEnded.class).stream()
                .filter(line -> "COMPLETED".equals(line.reason()))
                .forEach(line -> completed.add(line.jobId()));
        return completed;
    }

    /**
     * Returns how many tasks ended because their worker's lease ran out.
     *
     * @return zero or more
     */
    public int expiredTasks() {
        return (int) linesOf(TaskEnded.class).stream()
                .filter(line -> "LEASE_EXPIRED".equals(line.reason()))
                .count();
    }

    /**
     * Returns the most power that all workers together drew at one moment.
     *
     * @return milliwatts
     */
    public long peakMilliwatts() {
        List<PowerChange> changes = new ArrayList<>();
        for (List<JournalLine> journal : journals) {
            long before = 0;
            for (JournalLine line : journal) {
                if (line instanceof PowerDrawn power) {
                    changes.add(new PowerChange(power.nanos(), power.milliwatts() - before));
                    before = power.milliwatts();
                }
            }
        }
        changes.sort(Comparator.comparingLong(PowerChange::nanos));
        long sum = 0;
        long peak = 0;
        for (PowerChange change : changes) {
            sum += change.milliwatts();
            peak = Math.max(peak, sum);
        }
        return peak;
    }

    private <T extends JournalLine> List<T> linesOf(Class<T> type) {
        return journals.stream()
                .flatMap(List::stream)
                .filter(type::isInstance)
                .map(type::cast)
                .toList();
    }

    private static List<Run> runsOf(List<JournalLine> journal) {
        List<Run> runs = new ArrayList<>();
        Map<String, TaskStarted> open = new HashMap<>();
        for (JournalLine line : journal) {
            if (line instanceof TaskStarted started) {
                open.put(started.jobId() + " " + started.epoch(), started);
            }
            if (line instanceof TaskEnded ended) {
                TaskStarted started = open.remove(ended.jobId() + " " + ended.epoch());
                if (started != null) {
                    runs.add(new Run(started.jobId(), started.epoch(), started.nanos(), ended.nanos()));
                }
            }
        }
        for (TaskStarted started : open.values()) {
            runs.add(new Run(
                    started.jobId(),
                    started.epoch(),
                    started.nanos(),
                    journal.getLast().nanos()));
        }
        return runs;
    }

    private static boolean isOverlapping(List<Run> runs) {
        List<Run> sorted = new ArrayList<>(runs);
        sorted.sort(Comparator.comparingLong(Run::startNanos));
        for (int index = 1; index < sorted.size(); index++) {
            Run former = sorted.get(index - 1);
            Run next = sorted.get(index);
            if (next.startNanos() < former.endNanos() || next.epoch() <= former.epoch()) {
                return true;
            }
        }
        return false;
    }

    private static List<JournalLine> readOne(Path path) {
        try {
            return Files.exists(path)
                    ? Files.readAllLines(path).stream().map(JournalLine::parse).toList()
                    : List.of();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /** One run of a job on one worker. */
    private record Run(String jobId, long epoch, long startNanos, long endNanos) {}

    /** A change of one worker's draw. */
    private record PowerChange(long nanos, long milliwatts) {}
}
