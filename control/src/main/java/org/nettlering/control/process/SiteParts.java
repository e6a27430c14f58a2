package org.nettlering.control.process;

import org.nettlering.control.configuration.ConfigurationPart;
import org.nettlering.control.ledger.LedgerPart;
import org.nettlering.control.state.SiteStateMachine;
import org.nettlering.control.task.TaskPart;
import org.nettlering.control.workflow.WorkflowStateMachine;

/**
 * The parts of the replicated state of one control process.
 *
 * @param configuration the configuration, not null
 * @param tasks the tasks and workers, not null
 * @param ledger the ledger of non-idempotent requests, not null
 * @param workflow the queues and the jobs of steps, not null
 */
record SiteParts(ConfigurationPart configuration, TaskPart tasks, LedgerPart ledger, WorkflowStateMachine workflow) {
    /** Returns the parts before the first command; the tasks read the power cap from the configuration. */
    static SiteParts create(WorkflowStateMachine workflow) {
        ConfigurationPart configuration = ConfigurationPart.create();
        TaskPart tasks = TaskPart.create(() -> configuration.state().current().powerCapMilliwatts());
        return new SiteParts(configuration, tasks, LedgerPart.create(), workflow);
    }

    /** Returns the state machine over the parts. */
    SiteStateMachine stateMachine() {
        return SiteStateMachine.of(configuration, tasks, ledger, workflow);
    }
}
