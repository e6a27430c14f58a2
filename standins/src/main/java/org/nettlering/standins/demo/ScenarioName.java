package org.nettlering.standins.demo;

/** The demonstrations by name. */
enum ScenarioName {
    /** Requests and jobs while a control leader and an entry are killed. */
    STANDARD,
    /** All control processes are killed and started again. */
    CONTROL_RESTART,
    /** A worker is cut off silently until its lease has run out. */
    WORKER_PARTITION,
    /** An entry is cut off silently from all control processes. */
    ENTRY_PARTITION;

    /** Returns a new scenario. */
    DemoScenario create() {
        return switch (this) {
            case STANDARD -> new StandardScenario();
            case CONTROL_RESTART -> new ControlRestartScenario();
            case WORKER_PARTITION -> new WorkerPartitionScenario();
            case ENTRY_PARTITION -> new EntryPartitionScenario();
        };
    }
}
