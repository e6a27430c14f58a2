package org.nettlering.benchmarks.capacity;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.nettlering.standins.site.ManagedProcess;

/** Reads the live heap of a process after a full collection. */
final class HeapMeter {
    private static final Pattern USED = Pattern.compile("used (\\d+)K");
    private static final long BYTES_PER_KIBIBYTE = 1_024;

    private HeapMeter() {}

    /** Returns the bytes of live objects of each role's process. */
    static Map<String, Long> liveBytesOf(Map<String, ManagedProcess> roles) {
        Map<String, Long> bytes = new LinkedHashMap<>();
        roles.forEach((role, process) -> bytes.put(role, liveBytes(process)));
        return bytes;
    }

    /** Returns the bytes of live objects. */
    static long liveBytes(ManagedProcess process) {
        diagnose(process, "GC.run");
        long kibibytes = diagnose(process, "GC.heap_info")
                .lines()
                .filter(line -> !line.contains("space") && !line.contains("Metaspace"))
                .mapToLong(HeapMeter::usedKibibytes)
                .sum();
        return kibibytes * BYTES_PER_KIBIBYTE;
    }

    private static long usedKibibytes(String line) {
        Matcher matcher = USED.matcher(line);
        return matcher.find() ? Long.parseLong(matcher.group(1)) : 0L;
    }

    private static String diagnose(ManagedProcess process, String command) {
        String program = Path.of(System.getProperty("java.home"), "bin", "jcmd").toString();
        try {
            Process diagnosis = new ProcessBuilder(
                            program, Long.toString(process.process().pid()), command)
                    .redirectErrorStream(true)
                    .start();
            return new String(diagnosis.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
