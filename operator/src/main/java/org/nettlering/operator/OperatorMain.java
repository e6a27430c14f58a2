package org.nettlering.operator;

import org.nettlering.runtime.program.ExitCode;

/** The main class of the program {@code nettlering}. */
public final class OperatorMain {
    private static final String LOGGING_PROPERTY = "logback.configurationFile";

    private OperatorMain() {}

    /**
     * Carries out one command and exits with its code.
     *
     * @param arguments the command line, not null
     */
    public static void main(String[] arguments) {
        if (System.getProperty(LOGGING_PROPERTY) == null) {
            System.setProperty(LOGGING_PROPERTY, "logback-operator.xml");
        }
        ExitCode code = new OperatorProgram(System.out, System.err, System.getenv()).run(arguments);
        System.out.flush();
        System.exit(code.number());
    }
}
