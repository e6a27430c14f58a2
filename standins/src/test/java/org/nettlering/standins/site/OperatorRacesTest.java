package org.nettlering.standins.site;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.nettlering.runtime.program.ExitCode;
import org.nettlering.standins.site.OneControlSite.Run;

class OperatorRacesTest {
    private static final int RACERS = 12;

    @TempDir
    private Path folder = Path.of("");

    private OneControlSite site;

    @BeforeEach
    void start() {
        site = new OneControlSite(folder);
    }

    @AfterEach
    void stop() {
        site.close();
    }

    @Test
    void ofRacingChangesWithOneExpectedRevisionExactlyOneWins() {
        List<Run> runs;
        try (ExecutorService operators = Executors.newFixedThreadPool(RACERS)) {
            runs = IntStream.range(0, RACERS)
                    .mapToObj(i -> CompletableFuture.supplyAsync(
                            () -> site.operate("power-cap", "set", (i + 1) + "kW", "--expect", "0"), operators))
                    .toList()
                    .stream()
                    .map(CompletableFuture::join)
                    .toList();
        }

        assertThat(runs.stream().filter(run -> run.code() == ExitCode.SUCCESS)).hasSize(1);
        assertThat(runs.stream().filter(run -> run.code() != ExitCode.SUCCESS))
                .allSatisfy(run -> assertThat(run.err()).contains("revision-conflict"));
        assertThat(site.operate("profile", "list", "--json").out()).contains("\"revision\": \"1\"");
    }

    @Test
    void aChangeWhoseAnswerWasLostIsNotMadeTwice() {
        int lossy = site.startEntryThatLosesAnswers();

        Run run = site.operate(
                "power-cap",
                "set",
                "9kW",
                "--entry",
                "127.0.0.1:" + lossy,
                "--entry",
                "127.0.0.1:" + site.operatorPort(1));

        assertThat(run.err()).isEmpty();
        assertThat(run.out()).isEqualTo("revision 1" + System.lineSeparator());
        assertThat(site.operate("profile", "list", "--json").out()).contains("\"revision\": \"1\"");
    }

    @Test
    void anOperationRepeatedByHandGetsItsFirstAnswerAndAnotherContentIsRefused() {
        String[] options = {"--operation-id", "op-1", "--expect", "0"};
        assertThat(site.operate(join("power-cap set 9kW", options)).out()).contains("revision 1");
        assertThat(site.operate("power-cap", "set", "8kW").out()).contains("revision 2");

        assertThat(site.operate(join("power-cap set 9kW", options)).out()).contains("revision 1");
        Run other = site.operate(join("power-cap set 7kW", options));
        assertThat(other.code()).isEqualTo(ExitCode.FAILURE);
        assertThat(other.err()).contains("operation-reused");
    }

    private static String[] join(String line, String... options) {
        return java.util.stream.Stream.concat(List.of(line.split(" ", -1)).stream(), List.of(options).stream())
                .toArray(String[]::new);
    }
}
