package org.nettlering.control;

import org.nettlering.control.process.ControlProcess;
import org.nettlering.control.settings.ControlSettings;
import org.nettlering.runtime.program.Daemon;

/** The program {@code nettlering-control}. */
public final class ControlMain {
    private ControlMain() {}

    /**
     * Runs a control process until it is told to stop.
     *
     * @param arguments the command line, not null
     */
    public static void main(String[] arguments) {
        Daemon.of("nettlering-control", ControlSettings::load, ControlProcess::start)
                .main(arguments);
    }
}
