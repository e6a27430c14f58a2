package org.nettlering.standins.demo;

import java.io.PrintStream;

/** One demonstration: it starts a site, breaks parts of it and judges what held. */
interface DemoScenario {
    /** Runs the scenario and returns the verdict. */
    Verdict run(PrintStream progress);
}
