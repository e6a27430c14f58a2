package org.nettlering.standins.demo;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The programs that a demonstration starts, each with its main class and heap. */
enum Program {
    /** A control process. */
    CONTROL("org.nettlering.control.ControlMain", 96),
    /** An entry process. */
    ENTRY("org.nettlering.entry.EntryMain", 96),
    /** The operators' program. */
    OPERATOR("org.nettlering.operator.OperatorMain", 48),
    /** A stand-in. */
    STANDIN("org.nettlering.standins.StandinMain", 48);

    private static final List<String> FLAGS = List.of(
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-XX:+ExitOnOutOfMemoryError",
            "--enable-native-access=ALL-UNNAMED",
            "--sun-misc-unsafe-memory-access=allow");

    /** The main class. */
    private final String mainClass;

    /** The largest heap. */
    private final int heapMebibytes;

    Program(String mainClass, int heapMebibytes) {
        this.mainClass = mainClass;
        this.heapMebibytes = heapMebibytes;
    }

    /** Returns the command line that runs the program on this process's class path. */
    List<String> commandLine(List<String> arguments) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(FLAGS);
        command.add("-Xmx" + heapMebibytes + "m");
        command.add("-cp");
        command.add(System.getProperty("java.class.path"));
        command.add(mainClass);
        command.addAll(arguments);
        return command;
    }
}
