package org.nettlering.consensus.simulation;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.nettlering.consensus.ConsensusNode;
import org.nettlering.consensus.ConsensusSettings;
import org.nettlering.consensus.ConsensusStatus;
import org.nettlering.consensus.Member;
import org.nettlering.consensus.MemberId;

public final class ReplicatedStateSteps {
    private static final Duration STEP = Duration.ofMillis(5);
    private static final int SETTLE_STEPS = 6_000;
    private static final ConsensusSettings SETTINGS = ConsensusSettings.DEFAULT
            .withTimes(Duration.ofMillis(50), Duration.ofMillis(500))
            .withSnapshots(4_000, 10, 256);

    private SimulatedGroup group = new SimulatedGroup(new SplittableRandom(1), 3, SETTINGS);
    private long nextId = 1;
    private long termBefore;
    private Optional<MemberId> leaderBefore = Optional.empty();
    private @Nullable CompletableFuture<Void> read;

    private SimulatedMember member(int number) {
        return group.process(SimulatedGroup.idOf(number));
    }

    private ConsensusNode node(int number) {
        return member(number).node().orElseThrow();
    }

    private ConsensusStatus leading() {
        return group.leading().orElseThrow();
    }

    private void settle() {
        for (int step = 0; step < SETTLE_STEPS && !group.isSettled(); step++) {
            group.advance(STEP);
        }
        assertThat(group.isSettled()).isTrue();
    }

    @Given("a group of {int} members")
    public void aGroupOfMembers(int size) {
        group = new SimulatedGroup(new SplittableRandom(1), size, SETTINGS);
        group.startAll();
        settle();
        if (!leading().self().equals(SimulatedGroup.idOf(0))) {
            makeFirstMemberLead();
        }
        termBefore = leading().term();
        leaderBefore = leading().leader();
    }

    private void makeFirstMemberLead() {
        assertThat(group.leader()
                        .orElseThrow()
                        .node()
                        .orElseThrow()
                        .transferLeadership(Optional.of(SimulatedGroup.idOf(0))))
                .isNotNull();
        group.advance(Duration.ofSeconds(1));
        settle();
        assertThat(leading().self()).isEqualTo(SimulatedGroup.idOf(0));
    }

    @Given("{int} commands are acknowledged")
    public void commandsAreAcknowledged(int count) {
        History history = group.history();
        for (int command = 0; command < count; command++) {
            long wanted = history.acknowledgedCommands() + 1;
            propose();
            for (int step = 0; step < SETTLE_STEPS && history.acknowledgedCommands() < wanted; step++) {
                group.advance(STEP);
            }
            assertThat(history.acknowledgedCommands()).isEqualTo(wanted);
        }
    }

    private void propose() {
        RegisterCommand command = new RegisterCommand(nextId, nextId - 1);
        nextId++;
        History history = group.history();
        long acknowledgedBefore = history.acknowledgedIndex();
        CompletableFuture<Void> _ = group.leader()
                .orElseThrow()
                .node()
                .orElseThrow()
                .propose(command.encode())
                .thenAccept(result -> history.acknowledged(command, Register.decode(result), acknowledgedBefore));
    }

    @Given("member {int} is cut off")
    public void memberIsCutOff(int number) {
        MemberId cut = SimulatedGroup.idOf(number);
        for (int other = 0; other < 5; other++) {
            group.network().cut(cut, SimulatedGroup.idOf(other));
            group.network().cut(SimulatedGroup.idOf(other), cut);
        }
    }

    @When("the network is healed")
    public void theNetworkIsHealed() {
        group.network().heal();
    }

    @When("member {int} loses its disk")
    public void memberLosesItsDisk(int number) {
        member(number).crash();
        member(number).folder.wipe();
    }

    @When("member {int} crashes")
    public void memberCrashes(int number) {
        member(number).crash();
    }

    @When("member {int} starts")
    public void memberStarts(int number) {
        assertThat(member(number).start()).isTrue();
    }

    @When("every member crashes")
    public void everyMemberCrashes() {
        group.members().values().forEach(SimulatedMember::crash);
    }

    @When("every member starts")
    public void everyMemberStarts() {
        group.startAll();
    }

    @When("{int} seconds pass")
    public void secondsPass(int seconds) {
        group.advance(Duration.ofSeconds(seconds));
    }

    @When("{int} milliseconds pass")
    public void millisecondsPass(int milliseconds) {
        group.advance(Duration.ofMillis(milliseconds));
    }

    @When("a read is asked of member {int}")
    public void aReadIsAskedOf(int number) {
        read = node(number).readIndex();
    }

    @Then("the read has failed")
    public void theReadHasFailed() {
        assertThat(read).isCompletedExceptionally();
    }

    @When("a record in the middle of the log of member {int} is damaged")
    public void aRecordIsDamaged(int number) {
        SimulatedFolder folder = member(number).folder;
        String segment = folder.list().stream()
                .filter(name -> name.startsWith("log-"))
                .findFirst()
                .orElseThrow();
        byte[] bytes = folder.read(segment);
        bytes[40] ^= 1;
        folder.overwrite(segment, bytes);
    }

    @Then("member {int} refuses to start because its log is corrupt")
    public void memberRefusesToStart(int number) {
        ConsensusNode refused = member(number).create();
        assertThatThrownBy(refused::start).hasMessageContaining("is corrupt at byte");
    }

    @When("the disk of member {int} is full")
    public void theDiskIsFull(int number) {
        member(number).folder.failAfter(0);
    }

    @Then("member {int} has stopped")
    public void memberHasStopped(int number) {
        assertThat(member(number).node()).isEmpty();
    }

    @When("member {int} hands its leadership over")
    public void memberHandsOver(int number) {
        assertThat(node(number).transferLeadership(Optional.empty())).isNotNull();
    }

    @Then("another member than {int} leads")
    public void anotherMemberLeads(int number) {
        assertThat(leading().self()).isNotEqualTo(SimulatedGroup.idOf(number));
    }

    @When("member {int} is added")
    public void memberIsAdded(int number) {
        MemberId added = SimulatedGroup.idOf(number);
        assertThat(member(number).start()).isTrue();
        assertThat(group.leader().orElseThrow().node().orElseThrow().addMember(SimulatedGroup.describe(added)))
                .isNotNull();
    }

    @Then("member {int} has no vote")
    public void memberHasNoVote(int number) {
        assertThat(vote(number)).contains(false);
    }

    @Then("member {int} has a vote")
    public void memberHasAVote(int number) {
        assertThat(vote(number)).contains(true);
    }

    private Optional<Boolean> vote(int number) {
        return leading().membership().find(SimulatedGroup.idOf(number)).map(Member::voting);
    }

    @Then("no member leads")
    public void noMemberLeads() {
        assertThat(group.leader()).isEmpty();
    }

    @Then("the term and the leader are as before")
    public void theTermAndTheLeaderAreAsBefore() {
        assertThat(leading().term()).isEqualTo(termBefore);
        assertThat(leading().leader()).isEqualTo(leaderBefore);
    }

    @Then("the group settles and nothing acknowledged is lost")
    public void theGroupSettles() {
        settle();
        for (SimulatedMember member : group.listedMembers()) {
            group.history().finished(member.id, member.machine().register());
        }
        assertThat(group.history().violation()).isEmpty();
    }
}
