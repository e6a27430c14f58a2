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
    private static final int MAX_CONVERGENCE_STEPS = 6_000;
    private static final ConsensusSettings SETTINGS = ConsensusSettings.DEFAULT
            .withTimeouts(Duration.ofMillis(50), Duration.ofMillis(500))
            .withSnapshotLimits(4_000, 10, 256);

    private SimulatedGroup group = new SimulatedGroup(new SplittableRandom(1), 3, SETTINGS);
    private long nextId = 1;
    private long initialTerm;
    private Optional<MemberId> initialLeader = Optional.empty();
    private @Nullable CompletableFuture<Void> pendingRead;

    private SimulatedMember member(int number) {
        return group.getOrCreateMember(SimulatedGroup.idOf(number));
    }

    private ConsensusNode node(int number) {
        return member(number).node().orElseThrow();
    }

    private ConsensusStatus leaderStatus() {
        return group.leaderStatus().orElseThrow();
    }

    private void awaitConvergence() {
        for (int step = 0; step < MAX_CONVERGENCE_STEPS && !group.hasConverged(); step++) {
            group.advance(STEP);
        }
        assertThat(group.hasConverged()).isTrue();
    }

    @Given("a group of {int} members")
    public void aGroupOfMembers(int size) {
        group = new SimulatedGroup(new SplittableRandom(1), size, SETTINGS);
        group.startAll();
        awaitConvergence();
        if (!leaderStatus().self().equals(SimulatedGroup.idOf(0))) {
            transferLeadershipToFirstMember();
        }
        initialTerm = leaderStatus().term();
        initialLeader = leaderStatus().leader();
    }

    private void transferLeadershipToFirstMember() {
        assertThat(group.leader()
                        .orElseThrow()
                        .node()
                        .orElseThrow()
                        .transferLeadership(Optional.of(SimulatedGroup.idOf(0))))
                .isNotNull();
        group.advance(Duration.ofSeconds(1));
        awaitConvergence();
        assertThat(leaderStatus().self()).isEqualTo(SimulatedGroup.idOf(0));
    }

    @Given("{int} commands are acknowledged")
    public void commandsAreAcknowledged(int count) {
        History history = group.history();
        for (int command = 0; command < count; command++) {
            long expectedCommands = history.acknowledgedCommands() + 1;
            propose();
            for (int step = 0;
                    step < MAX_CONVERGENCE_STEPS && history.acknowledgedCommands() < expectedCommands;
                    step++) {
                group.advance(STEP);
            }
            assertThat(history.acknowledgedCommands()).isEqualTo(expectedCommands);
        }
    }

    private void propose() {
        RegisterCommand command = new RegisterCommand(nextId, nextId - 1);
        nextId++;
        History history = group.history();
        long acknowledgedIndexAtStart = history.acknowledgedIndex();
        CompletableFuture<Void> _ = group.leader()
                .orElseThrow()
                .node()
                .orElseThrow()
                .propose(command.encode())
                .thenAccept(result ->
                        history.recordAcknowledged(command, Register.decode(result), acknowledgedIndexAtStart));
    }

    @Given("member {int} is cut off")
    public void memberIsPartitioned(int number) {
        MemberId partitioned = SimulatedGroup.idOf(number);
        for (int other = 0; other < 5; other++) {
            group.network().partition(partitioned, SimulatedGroup.idOf(other));
            group.network().partition(SimulatedGroup.idOf(other), partitioned);
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
    public void memberReceivesARead(int number) {
        pendingRead = node(number).readIndex();
    }

    @Then("the read has failed")
    public void theReadHasFailed() {
        assertThat(pendingRead).isCompletedExceptionally();
    }

    @When("a record in the middle of the log of member {int} is damaged")
    public void aLogRecordIsCorrupted(int number) {
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
    public void memberFailsToStartWithACorruptLog(int number) {
        ConsensusNode corrupt = member(number).createNode();
        assertThatThrownBy(corrupt::start).hasMessageContaining("is corrupt at byte");
    }

    @When("the disk of member {int} is full")
    public void theDiskIsFull(int number) {
        member(number).folder.failAfter(0);
    }

    @When("the disk of member {int} has no room")
    public void theDiskHasNoRoom(int number) {
        member(number).folder.setFull(true);
    }

    @When("the disk of member {int} has room again")
    public void theDiskHasRoomAgain(int number) {
        member(number).folder.setFull(false);
    }

    @When("the disk of member {int} hangs for {int} seconds")
    public void theDiskHangs(int number, int seconds) {
        member(number).hangDisk(Duration.ofSeconds(seconds));
    }

    @Then("a command that is proposed gets no result within {int} seconds")
    public void aCommandGetsNoResult(int seconds) {
        long acknowledged = group.history().acknowledgedCommands();
        propose();
        group.advance(Duration.ofSeconds(seconds));
        assertThat(group.history().acknowledgedCommands()).isEqualTo(acknowledged);
    }

    @Then("member {int} has stopped")
    public void memberHasStopped(int number) {
        assertThat(member(number).node()).isEmpty();
    }

    @When("member {int} hands its leadership over")
    public void memberTransfersLeadership(int number) {
        assertThat(node(number).transferLeadership(Optional.empty())).isNotNull();
    }

    @Then("another member than {int} leads")
    public void anotherMemberLeads(int number) {
        assertThat(leaderStatus().self()).isNotEqualTo(SimulatedGroup.idOf(number));
    }

    @When("member {int} is added")
    public void memberIsAdded(int number) {
        MemberId added = SimulatedGroup.idOf(number);
        assertThat(member(number).start()).isTrue();
        assertThat(group.leader().orElseThrow().node().orElseThrow().addMember(SimulatedGroup.learnerOf(added)))
                .isNotNull();
    }

    @Then("member {int} has no vote")
    public void memberHasNoVote(int number) {
        assertThat(isVoting(number)).contains(false);
    }

    @Then("member {int} has a vote")
    public void memberHasAVote(int number) {
        assertThat(isVoting(number)).contains(true);
    }

    private Optional<Boolean> isVoting(int number) {
        return leaderStatus().membership().find(SimulatedGroup.idOf(number)).map(Member::voting);
    }

    @Then("no member leads")
    public void noMemberLeads() {
        assertThat(group.leader()).isEmpty();
    }

    @Then("the term and the leader are as before")
    public void theTermAndTheLeaderAreAsBefore() {
        assertThat(leaderStatus().term()).isEqualTo(initialTerm);
        assertThat(leaderStatus().leader()).isEqualTo(initialLeader);
    }

    @Then("the group settles and nothing acknowledged is lost")
    public void theGroupConvergesWithoutViolation() {
        awaitConvergence();
        for (SimulatedMember member : group.currentMembers()) {
            group.history().checkFinalState(member.id, member.machine().register());
        }
        assertThat(group.history().violation()).isEmpty();
    }
}
