package org.nettlering.standins.site;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The programs that a local site starts, each with its main class and the options of its virtual machine. */
public enum Program {
    /** A control process, with the options of its launcher. */
    CONTROL("org.nettlering.control.ControlMain", 96, false),
    /** An entry process, with the options of its launcher. */
    ENTRY("org.nettlering.entry.EntryMain", 96, false),
    /** The operators' program. */
    OPERATOR("org.nettlering.operator.OperatorMain", 48, true),
    /** A stand-in. */
    STANDIN("org.nettlering.standins.StandinMain", 48, true);

    private static final List<String> COMMON_OPTIONS = List.of(
            "-XX:+UseSerialGC",
            "-XX:MaxDirectMemorySize=40m",
            "-XX:ReservedCodeCacheSize=40m",
            "-XX:+ExitOnOutOfMemoryError",
            "--enable-native-access=ALL-UNNAMED",
            "--sun-misc-unsafe-memory-access=allow");

    /** The main class. */
    private final String mainClass;

    /** The largest heap. */
    private final int heapMebibytes;

    /** Whether only the quick compiler is used, as fits a program that does little. */
    private final boolean quickStart;

    Program(String mainClass, int heapMebibytes, boolean quickStart) {
        this.mainClass = mainClass;
        this.heapMebibytes = heapMebibytes;
        this.quickStart = quickStart;
    }

    /** Returns the command line that runs the program on this process's class path. */
    List<String> commandLine(List<String> arguments) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(COMMON_OPTIONS);
        command.add("-Xmx" + heapMebibytes + "m");
        if (quickStart) {
            command.add("-XX:TieredStopAtLevel=1");
        }
        command.add("-cp");
        command.add(System.getProperty("java.class.path"));
        command.add(mainClass);
        command.addAll(arguments);
        return command;
    }
}
