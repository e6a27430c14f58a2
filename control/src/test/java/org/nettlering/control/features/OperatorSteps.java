package org.nettlering.control.features;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.nettlering.control.configuration.ConfigurationPart;
import org.nettlering.control.configuration.ConfigurationService;
import org.nettlering.control.state.SiteStateMachine;
import org.nettlering.control.testing.EmptyPart;
import org.nettlering.control.testing.SingleMemberLog;
import org.nettlering.domain.configuration.SiteConfiguration;
import org.nettlering.domain.time.ManualTime;
import org.nettlering.wire.proto.ConfigurationProto.ConfigurationChange;
import org.nettlering.wire.proto.ConfigurationProto.ConfigurationCommand;
import org.nettlering.wire.proto.ConfigurationProto.ConfigurationRequest;
import org.nettlering.wire.proto.ConfigurationProto.ConfigurationResult;
import org.nettlering.wire.proto.ConfigurationProto.Service;
import org.nettlering.wire.proto.FrameProto.Frame;

public class OperatorSteps {
    private static final long MILLIWATTS_PER_WATT = 1000;

    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);
    private final List<ConfigurationResult> results = new ArrayList<>();
    private Member leader = new Member();
    private ConfigurationCommand lastCommand = ConfigurationCommand.getDefaultInstance();

    @Given("the current revision is {long}")
    public void theCurrentRevisionIs(long revision) {
        for (long earlier = 0; earlier < revision; earlier++) {
            send(powerCap("setup-" + earlier, earlier, earlier));
        }
        results.clear();
    }

    @Given("operation {string} set the power cap to {long} watt(s) from revision {long}")
    public void operationSetThePowerCap(String id, long watts, long revision) {
        lastCommand = powerCap(id, revision, watts * MILLIWATTS_PER_WATT);
        send(lastCommand);
    }

    @When("{int} operators each expect revision {long} and set a different power cap")
    public void operatorsRace(int operators, long revision) {
        for (int operator = 0; operator < operators; operator++) {
            send(powerCap("operator-" + operator, revision, 100 + operator));
        }
    }

    @When("operation {string} is sent again with the same content")
    public void operationIsSentAgain(String id) {
        assertThat(lastCommand.getOperationId()).isEqualTo(id);
        send(lastCommand);
    }

    @When("operation {string} is sent again to set the power cap to {long} watt(s)")
    public void operationIsSentAgainWithOtherContent(String id, long watts) {
        send(powerCap(id, currentRevision(), watts * MILLIWATTS_PER_WATT));
    }

    @When("another member takes over by replaying the log")
    public void anotherMemberTakesOverByReplay() {
        Member successor = new Member();
        leader.log.replayInto(successor.machine);
        leader = successor;
    }

    @When("another member takes over from a snapshot")
    public void anotherMemberTakesOverFromASnapshot() {
        Member successor = new Member();
        successor.machine.restore(leader.machine.capture().encode());
        leader = successor;
    }

    @When("an operator puts a service that names profile {string}")
    public void anOperatorPutsAService(String profile) {
        Service service = Service.newBuilder()
                .setName("previews")
                .setProfile(profile)
                .setRequestTimeoutMillis(1000)
                .build();
        send(command("put-service", currentRevision())
                .addChanges(ConfigurationChange.newBuilder().setPutService(service))
                .build());
    }

    @Then("exactly {long} of the changes is/are accepted")
    public void exactlySomeAreAccepted(long accepted) {
        assertThat(results.stream().filter(result -> result.getErrorCode().isEmpty()))
                .hasSize((int) accepted);
    }

    @Then("the answer is revision {long}")
    public void theAnswerIsRevision(long revision) {
        assertThat(results.getLast().getErrorCode()).isEmpty();
        assertThat(results.getLast().getRevision()).isEqualTo(revision);
    }

    @Then("the answer is refused with {string}")
    public void theAnswerIsRefused(String code) {
        assertThat(results.getLast().getErrorCode()).isEqualTo(code);
    }

    @Then("the current revision is now {long}")
    public void theCurrentRevisionIsNow(long revision) {
        assertThat(currentRevision()).isEqualTo(revision);
    }

    @Then("the power cap is {long} watts")
    public void thePowerCapIs(long watts) {
        assertThat(current().powerCapMilliwatts()).isEqualTo(watts * MILLIWATTS_PER_WATT);
    }

    private void send(ConfigurationCommand command) {
        Frame request = Frame.newBuilder()
                .setConfigurationRequest(ConfigurationRequest.newBuilder().setChange(command))
                .build();
        results.add(leader.service
                .handle(request)
                .toCompletableFuture()
                .join()
                .getConfigurationResponse()
                .getResult());
    }

    private long currentRevision() {
        return current().revision();
    }

    private SiteConfiguration current() {
        return leader.configuration.state().current();
    }

    private static ConfigurationCommand powerCap(String id, long expectedRevision, long milliwatts) {
        return command(id, expectedRevision)
                .addChanges(ConfigurationChange.newBuilder().setPowerCapMilliwatts(milliwatts))
                .build();
    }

    private static ConfigurationCommand.Builder command(String id, long expectedRevision) {
        return ConfigurationCommand.newBuilder().setOperationId(id).setExpectedRevision(expectedRevision);
    }

    /** One control member with a state of its own. */
    private final class Member {
        private final ConfigurationPart configuration = ConfigurationPart.create();
        private final SiteStateMachine machine =
                SiteStateMachine.of(configuration, new EmptyPart(), new EmptyPart(), new EmptyPart());
        private final SingleMemberLog log = new SingleMemberLog(machine);
        private final ConfigurationService service = ConfigurationService.of(log, configuration, time);
    }
}
