package org.nettlering.standins.demo;

/** The demonstrations by name. */
enum ScenarioName {
    /** Requests and jobs while a control leader and an entry are killed. */
    STANDARD;

    /** Returns a new scenario. */
    DemoScenario create() {
        return switch (this) {
            case STANDARD -> new StandardScenario();
        };
    }
}
