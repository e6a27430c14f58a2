package org.nettlering.control.workflow;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.TerminalStatus;
import org.nettlering.domain.workflow.WorkflowCommand;
import org.nettlering.domain.workflow.WorkflowCommand.RecordTermination;
import org.nettlering.domain.workflow.host.HostSession;
import org.nettlering.domain.workflow.host.TerminationEvidence;

/**
 * The terminations that one leadership knows of and has not proposed yet, with the host and the evidence of each.
 *
 * <p>A termination stays here until a batch takes it, and comes back if that batch fails. Not thread-safe.
 */
final class UncommittedTerminations {
    private final Map<RunId, RecordTermination> terminations = new LinkedHashMap<>();

    /** The evidence of terminations that have not been written to the event log yet. */
    private final Map<RunId, TerminationEvidence> evidenceByRun = new HashMap<>();

    /** The incarnation id of the host of each tracked run. */
    private final Map<RunId, String> hostIdsByRun = new HashMap<>();

    UncommittedTerminations() {}

    boolean contains(RunId run) {
        return terminations.containsKey(run);
    }

    /** Returns the incarnation id of the host of a run, or empty if it is not tracked. */
    Optional<String> hostIdOf(RunId run) {
        return Optional.ofNullable(hostIdsByRun.get(run));
    }

    /** Records on which host a run is tracked. */
    void runTracked(RunId run, String hostId) {
        hostIdsByRun.put(run, hostId);
    }

    /** Adds the terminations that a session found. */
    void addAll(HostSession session, Collection<RecordTermination> found) {
        for (RecordTermination termination : found) {
            terminations.put(termination.run(), termination);
            hostIdsByRun.put(termination.run(), session.host().id());
            session.runs()
                    .evidenceOf(termination.run())
                    .ifPresent(evidence -> evidenceByRun.put(termination.run(), evidence));
        }
    }

    /** Adds a run whose start is committed, but whose start command is not sent: its host is gone, has shrunk or closed. */
    void addUnsent(RunId run) {
        terminations.put(run, new RecordTermination(run, TerminalStatus.NOT_BEGUN, ""));
        evidenceByRun.put(run, new TerminationEvidence.NotSent(false, false));
    }

    /** Removes and returns all terminations, to be proposed. */
    List<RecordTermination> takeAll() {
        List<RecordTermination> all = List.copyOf(terminations.values());
        terminations.clear();
        return all;
    }

    /** Adds the terminations of a batch that failed again, unless a newer one of the same run is known. */
    void restore(List<WorkflowCommand> batch) {
        for (WorkflowCommand command : batch) {
            if (command instanceof RecordTermination termination) {
                terminations.putIfAbsent(termination.run(), termination);
            }
        }
    }

    /** Forgets the host of a run whose termination is committed, unless the host has reported another one meanwhile. */
    void committed(RunId run) {
        if (!terminations.containsKey(run)) {
            hostIdsByRun.remove(run);
        }
    }

    /** Removes and returns the evidence of a committed termination. */
    TerminationEvidence removeEvidence(RunId run) {
        TerminationEvidence evidence = evidenceByRun.remove(run);
        return evidence == null ? new TerminationEvidence.Listed() : evidence;
    }
}
