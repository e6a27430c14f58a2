package org.nettlering.operator;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.nettlering.runtime.program.ExitCode;

class OperatorProgramTest {
    private final Vertx vertx = Vertx.vertx();
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    private final FakeEntry first = new FakeEntry(vertx);
    private final FakeEntry second = new FakeEntry(vertx);

    @AfterEach
    void stop() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    @Test
    void aChangeExpectsTheRevisionThatWasRead() {
        first.changes((request, body) -> FakeEntry.answer(request, 200, "{\"revision\": \"8\"}"));
        second.changes((request, body) -> FakeEntry.answer(request, 200, "{\"revision\": \"8\"}"));

        ExitCode code =
                run("profile", "put", "urgent", "--urgency", "90", "--interruption", "never", "--power-share", "60");

        assertThat(code).isEqualTo(ExitCode.SUCCESS);
        assertThat(output()).isEqualTo("revision 8" + System.lineSeparator());
        // A read that takes too long on a busy machine is repeated at the second entry.
        List<String> changes = Stream.of(first, second)
                .flatMap(entry -> entry.bodies.stream())
                .filter(body -> !body.isEmpty())
                .toList();
        assertThat(changes).hasSize(1);
        JsonObject command = new JsonObject(changes.getFirst());
        assertThat(command.getString("expectedRevision")).isEqualTo("7");
        assertThat(command.getString("operationId")).isNotBlank();
        assertThat(command.getJsonArray("changes")
                        .getJsonObject(0)
                        .getJsonObject("putProfile")
                        .getString("name"))
                .isEqualTo("urgent");
    }

    @Test
    void anEntryThatIsDownIsSkipped() {
        String down = first.address();
        first.close();
        second.changes((request, body) -> FakeEntry.answer(request, 200, "{\"revision\": \"8\"}"));

        assertThat(program("--entry", down, "--entry", second.address(), "service", "move", "portfolio", "urgent"))
                .isEqualTo(ExitCode.SUCCESS);
        assertThat(second.requests).contains("POST /v1/configuration/changes");
    }

    @Test
    void aChangeWhoseAnswerWasLostIsRepeatedUnderTheSameOperationId() {
        first.changes((request, body) -> request.connection().close());
        second.changes((request, body) -> FakeEntry.answer(request, 200, "{\"revision\": \"8\"}"));

        assertThat(run("power-cap", "set", "90kW")).isEqualTo(ExitCode.SUCCESS);
        assertThat(second.bodies.getLast()).isEqualTo(first.bodies.getLast()).contains("90000000");
    }

    @Test
    void aConflictIsRefusedWithItsCodeAndNotTriedElsewhere() {
        first.changes((request, body) -> FakeEntry.refuse(request, 409, "revision-conflict", "not-run"));

        assertThat(run("team", "remove", "letters")).isEqualTo(ExitCode.FAILURE);
        assertThat(errors()).startsWith("nettlering: revision-conflict:").contains("because");
        assertThat(second.requests).isEmpty();
    }

    @Test
    void anOutcomeThatStaysUnknownTellsHowToRepeatTheChange() {
        first.changes((request, body) -> FakeEntry.refuse(request, 504, "outcome-unknown", "unknown"));
        second.changes((request, body) -> FakeEntry.refuse(request, 504, "outcome-unknown", "unknown"));

        assertThat(run("profile", "remove", "old", "--operation-id", "op-9")).isEqualTo(ExitCode.UNKNOWN_OUTCOME);
        assertThat(errors()).contains("--operation-id op-9 --expect 7");
    }

    @Test
    void anUnknownOutcomeIsNotForgottenWhenTheNextEntryHasNoLeader() {
        first.changes((request, body) -> FakeEntry.refuse(request, 504, "outcome-unknown", "unknown"));
        second.changes((request, body) -> FakeEntry.refuse(request, 503, "no-leader", "not-run"));

        assertThat(run("profile", "remove", "old")).isEqualTo(ExitCode.UNKNOWN_OUTCOME);
    }

    @Test
    void withoutAnyEntryThatAnswersNothingWasRun() {
        first.close();
        second.close();

        assertThat(run("job", "list")).isEqualTo(ExitCode.UNREACHABLE);
        assertThat(errors()).startsWith("nettlering: connection-lost:");
    }

    @Test
    void aChangeOfMembershipIsNotRepeatedAfterAnUnknownOutcome() {
        first.behave((request, body) -> request.connection().close());

        assertThat(run("member", "remove", "control-3")).isEqualTo(ExitCode.UNKNOWN_OUTCOME);
        assertThat(second.requests).isEmpty();
    }

    @Test
    void aJobIsSubmittedWithItsDeclaration() {
        first.behave((request, body) -> FakeEntry.answer(request, 200, "{\"state\": \"pending\"}"));

        assertThat(run(
                        "job",
                        "submit",
                        "proof-1",
                        "--team",
                        "studio",
                        "--profile",
                        "batch",
                        "--class",
                        "proof",
                        "--millicores",
                        "2000",
                        "--memory-mebibytes",
                        "512",
                        "--power",
                        "250W",
                        "--run-time-seconds",
                        "90",
                        "--deadline",
                        "2027-01-31T06:00:00Z"))
                .isEqualTo(ExitCode.SUCCESS);
        JsonObject job = new JsonObject(first.bodies.getFirst()).getJsonObject("job");
        assertThat(job.getString("powerMilliwatts")).isEqualTo("250000");
        assertThat(job.getString("declaredRunTimeMillis")).isEqualTo("90000");
        assertThat(output()).contains("pending");
    }

    @Test
    void jsonIsTheEntrysOwnAnswer() {
        first.behave((request, body) -> FakeEntry.answer(request, 200, "{\"revision\": \"3\"}\n"));

        assertThat(run("profile", "list", "--json")).isEqualTo(ExitCode.SUCCESS);
        assertThat(output()).isEqualTo("{\"revision\": \"3\"}\n");
    }

    @Test
    void entriesComeFromTheEnvironmentWhenNoneIsNamed() {
        OperatorProgram program = new OperatorProgram(
                stream(out), stream(err), Map.of(OperatorProgram.ENTRIES_VARIABLE, second.address()));

        assertThat(program.run("status")).isEqualTo(ExitCode.SUCCESS);
        assertThat(second.requests).containsExactly("GET /v1/status");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "nonsense",
                "profile",
                "profile nonsense",
                "profile put urgent",
                "power-cap set 90",
                "service put s --profile p --route noslash",
                "job show j --entry somewhere",
                "status"
            })
    void aWrongCommandLineExitsWithTwoAndSendsNothing(String line) {
        OperatorProgram program = new OperatorProgram(stream(out), stream(err), Map.of());

        assertThat(program.run(line.split(" ", -1))).isEqualTo(ExitCode.USAGE);
        assertThat(errors()).startsWith("nettlering: invalid-argument:");
        assertThat(first.requests).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "--help",
                "profile --help",
                "profile put --help",
                "profile remove --help",
                "profile list --help",
                "service --help",
                "service put --help",
                "service move --help",
                "service remove --help",
                "service list --help",
                "team --help",
                "team put --help",
                "team remove --help",
                "team list --help",
                "power-cap --help",
                "power-cap set --help",
                "power-cap show --help",
                "job --help",
                "job submit --help",
                "job show --help",
                "job list --help",
                "job cancel --help",
                "worker --help",
                "worker show --help",
                "member --help",
                "member list --help",
                "member add --help",
                "member remove --help",
                "leader --help",
                "leader transfer --help",
                "status --help",
                "explain --help",
                "explain job --help",
                "explain worker --help",
                "explain service --help",
                "explain revision --help",
                "explain leader --help"
            })
    void everyCommandHasHelp(String line) {
        OperatorProgram program = new OperatorProgram(stream(out), stream(err), Map.of());

        assertThat(program.run(line.split(" ", -1))).isEqualTo(ExitCode.SUCCESS);
        assertThat(output())
                .contains("usage: nettlering")
                .contains("exit codes")
                .contains("--help");
        assertThat(errors()).isEmpty();
    }

    private ExitCode run(String... arguments) {
        List<String> line = new ArrayList<>(List.of(arguments));
        line.addAll(List.of("--entry", first.address(), "--entry", second.address()));
        return program(line.toArray(String[]::new));
    }

    private ExitCode program(String... arguments) {
        return new OperatorProgram(stream(out), stream(err), Map.of()).run(arguments);
    }

    private String output() {
        return out.toString(StandardCharsets.UTF_8);
    }

    private String errors() {
        return err.toString(StandardCharsets.UTF_8);
    }

    private static PrintStream stream(ByteArrayOutputStream bytes) {
        return new PrintStream(bytes, true, StandardCharsets.UTF_8);
    }
}
