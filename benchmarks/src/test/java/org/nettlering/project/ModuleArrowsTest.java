package org.nettlering.project;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class ModuleArrowsTest {
    /** Which modules each module may name, itself included. */
    private static final Map<String, Set<String>> ARROWS = Map.of(
            "domain", Set.of("domain"),
            "consensus", Set.of("domain", "consensus"),
            "runtime", Set.of("domain", "runtime"),
            "wire", Set.of("domain", "consensus", "runtime", "wire"),
            "entry", Set.of("domain", "consensus", "runtime", "wire", "entry"),
            "control", Set.of("domain", "consensus", "runtime", "wire", "control"),
            "operator", Set.of("domain", "runtime", "wire", "operator"),
            "platform", Set.of("domain", "runtime", "wire", "entry", "control", "platform"),
            "standins", Set.of("domain", "consensus", "runtime", "wire", "entry", "control", "operator", "standins"),
            "benchmarks",
                    Set.of(
                            "domain",
                            "consensus",
                            "runtime",
                            "wire",
                            "entry",
                            "control",
                            "operator",
                            "standins",
                            "benchmarks"));

    /** What the pure modules must not name. */
    private static final List<String> LIBRARIES = List.of(
            "io/vertx/",
            "io/netty/",
            "com/google/protobuf/",
            "io/prometheus/",
            "io/opentelemetry/",
            "org/slf4j/",
            "ch/qos/",
            "org/apache/",
            "org/kohsuke/");

    /** Reading and writing of files and sockets. */
    private static final List<String> INPUT_AND_OUTPUT = List.of(
            "java/nio/file/",
            "java/nio/channels/",
            "java/io/File",
            "java/io/RandomAccessFile",
            "java/net/Socket",
            "java/net/ServerSocket",
            "java/net/http/");

    /** Ways to read the time or to wait past the port. */
    private static final Set<String> CLOCKS = Set.of(
            "java/lang/System.nanoTime",
            "java/lang/System.currentTimeMillis",
            "java/lang/Thread.sleep",
            "java/time/Instant.now",
            "java/time/Clock.systemUTC",
            "java/time/LocalDateTime.now");

    /** The parts of Netty that move bytes; Vert.x shows others in its own interface. */
    private static final List<String> NETTY_CHANNELS =
            List.of("io/netty/channel/", "io/netty/bootstrap/", "io/netty/buffer/");

    /** What must not bring clustering, discovery or proxying into the programs. */
    private static final List<String> UNUSED_PARTS =
            List.of("io/vertx/core/spi/cluster/", "io/vertx/servicediscovery/", "io/vertx/httpproxy/");

    /** Words of the users' platform, each as a whole word, which only its adapter knows. */
    private static final Pattern PLATFORM_WORDS = Pattern.compile(
            "(?<![a-z])(minions?|fencing_token|last_seen|task_spec|run_id|wait_ms|clock_ms|slo_target_ms"
                    + "|instances\\.heartbeat|config\\.replace|expected-instance)(?![a-z])",
            Pattern.CASE_INSENSITIVE);

    private final List<CompiledClass> classes = CompiledClass.all();

    @Test
    void everyModuleIsLookedAt() {
        assertThat(classes.stream().map(CompiledClass::module).distinct())
                .containsExactlyInAnyOrderElementsOf(ARROWS.keySet());
    }

    @Test
    void noArrowPointsOutwards() {
        assertThat(faults(
                        of -> true,
                        (of, type) -> type.startsWith("org/nettlering/")
                                && type.split("/", -1).length > 3
                                && !ARROWS.getOrDefault(of.module(), Set.of()).contains(CompiledClass.moduleOf(type))))
                .isEmpty();
    }

    @Test
    void thePureModulesNameNoLibrary() {
        assertThat(faults(of -> isIn(of, "domain", "consensus"), (of, type) -> startsWithAny(type, LIBRARIES)))
                .isEmpty();
    }

    @Test
    void theDomainReadsAndWritesNoFilesOrSockets() {
        assertThat(faults(of -> isIn(of, "domain"), (of, type) -> startsWithAny(type, INPUT_AND_OUTPUT)))
                .isEmpty();
    }

    @Test
    void nettyChannelsStayInTheTransport() {
        assertThat(faults(
                        of -> !of.name().startsWith("org/nettlering/wire/transport/"),
                        (of, type) -> startsWithAny(type, NETTY_CHANNELS)))
                .isEmpty();
    }

    @Test
    void openTelemetryStaysInTheRuntime() {
        assertThat(faults(
                        of -> !of.name().startsWith("org/nettlering/runtime/trace/"),
                        (of, type) -> type.startsWith("io/opentelemetry/")))
                .isEmpty();
    }

    @Test
    void noLibraryBringsClusteringDiscoveryOrProxying() {
        assertThat(faults(of -> true, (of, type) -> startsWithAny(type, UNUSED_PARTS)))
                .isEmpty();
    }

    @Test
    void thePoliciesAndProgramsReadTheTimeThroughItsPort() {
        Stream<String> found = classes.stream()
                .filter(of -> !isIn(of, "standins", "benchmarks"))
                .filter(of -> !of.name().equals("org/nettlering/domain/time/SystemTime"))
                .flatMap(of ->
                        of.members().stream().filter(CLOCKS::contains).map(member -> of.name() + " calls " + member));
        assertThat(found).isEmpty();
    }

    @Test
    void onlyTheAdapterKnowsTheWordsOfThePlatform() {
        Stream<String> found = classes.stream()
                .filter(of -> !isIn(of, "platform"))
                .flatMap(of -> of.texts().stream()
                        .filter(text -> PLATFORM_WORDS.matcher(text).find())
                        .map(text -> of.name() + " holds " + text));
        assertThat(found).isEmpty();
    }

    private Stream<String> faults(Predicate<CompiledClass> subjects, Rule forbidden) {
        return classes.stream()
                .filter(of -> !of.isGenerated())
                .filter(subjects)
                .flatMap(of -> of.types().stream()
                        .filter(type -> forbidden.isBroken(of, type))
                        .map(type -> of.name() + " names " + type));
    }

    private static boolean isIn(CompiledClass of, String... modules) {
        return List.of(modules).contains(of.module());
    }

    private static boolean startsWithAny(String type, List<String> prefixes) {
        return prefixes.stream().anyMatch(type::startsWith);
    }

    @FunctionalInterface
    private interface Rule {
        boolean isBroken(CompiledClass of, String type);
    }
}
