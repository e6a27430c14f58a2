package org.nettlering.standins.worker;

import org.nettlering.standins.journal.JournalLine;

/** The port through which a worker stand-in records what it ran. */
@FunctionalInterface
public interface WorkerRecorder {
    /**
     * Records one line.
     *
     * @param line what happened, not null
     */
    void record(JournalLine line);
}
