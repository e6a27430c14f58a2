package org.nettlering.domain.placement.features;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.List;
import org.nettlering.domain.placement.PlacementSimulation;
import org.nettlering.domain.placement.ScoredPlanner;
import org.nettlering.domain.placement.TestJobs;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.task.Task;
import org.nettlering.domain.task.TaskPhase;

/** Cucumber steps on a placement simulation. */
public final class PlacementSteps {
    private final PlacementSimulation simulation =
            new PlacementSimulation(ScoredPlanner.create(), TestJobs.configuration(1, TestJobs.POWER_CAP_MILLIWATTS));
    private long revision = 1;
    private int nextJobNumber;

    @Given("{int} workers of {int} processors")
    public void addWorkers(int count, int processors) {
        for (int number = 1; number <= count; number++) {
            simulation.addWorker("worker-" + number, "rack-" + number, Resources.of(processors * 1_000L, 64_000, 0));
        }
    }

    @Given("a power cap of {int} watts")
    @When("the power cap is lowered to {int} watts")
    public void setPowerCap(int watts) {
        simulation.configure(TestJobs.configuration(++revision, watts * 1_000L));
    }

    @When("{int} jobs of {int} processor are submitted under profile {string}")
    public void submitJobs(int count, int processors, String profile) {
        for (int number = 0; number < count; number++) {
            simulation.submit(TestJobs.job("job-" + nextJobNumber++, profile, processors * 1_000L));
        }
    }

    @Given("{int} jobs of {int} processor run under profile {string}")
    public void startJobs(int count, int processors, String profile) {
        submitJobs(count, processors, profile);
        simulation.steps(2);
        assertThat(jobsOfProfile(profile))
                .allSatisfy(task -> assertThat(task.phase()).isEqualTo(TaskPhase.RUNNING));
    }

    @When("{int} seconds pass")
    public void advanceSeconds(int seconds) {
        simulation.steps(seconds);
    }

    @When("worker {int} is lost")
    public void loseWorker(int number) {
        simulation.loseWorker("worker-" + number);
    }

    @When("every job under profile {string} completes")
    public void completeJobs(String profile) {
        jobsOfProfile(profile).forEach(task -> simulation.complete(task.job().jobId()));
    }

    @When("every job under profile {string} is cancelled")
    public void cancelJobs(String profile) {
        jobsOfProfile(profile).forEach(task -> simulation.cancel(task.job().jobId()));
    }

    @Then("{int} jobs run")
    public void assertRunningJobs(int count) {
        assertThat(simulation.state().tasks())
                .filteredOn(task -> task.phase() == TaskPhase.RUNNING)
                .hasSize(count);
    }

    @Then("no worker is committed beyond what it offers")
    public void assertAllocationsWithinCapacity() {
        assertThat(simulation.state().workers())
                .allMatch(worker -> worker.allocated().fitsIn(worker.capacity()));
    }

    @Then("the committed draw is at most {int} watts")
    public void assertPowerDrawAtMost(int watts) {
        assertThat(simulation.state().allocatedMilliwatts()).isBetween(1L, watts * 1_000L);
    }

    @Then("nothing is committed")
    public void assertNothingAllocated() {
        assertThat(simulation.state().allocatedMilliwatts()).isZero();
        assertThat(simulation.state().workers())
                .allMatch(worker -> worker.allocated().equals(Resources.NONE));
    }

    @Then("every job under profile {string} runs at full speed")
    public void assertFullSpeed(String profile) {
        assertThat(jobsOfProfile(profile)).isNotEmpty().allSatisfy(task -> {
            assertThat(task.phase()).isEqualTo(TaskPhase.RUNNING);
            assertThat(task.requestedSpeedPercent()).isEqualTo(100);
        });
    }

    @Then("no job runs in two places")
    public void assertNoJobRunsTwice() {
        assertThat(simulation.state().tasks())
                .allSatisfy(task ->
                        assertThat(simulation.runningCopies(task.job().jobId())).isLessThanOrEqualTo(1));
    }

    @Then("every evicted job resumed from its last checkpoint")
    public void assertEvictedJobsResumedFromCheckpoint() {
        assertThat(simulation.state().tasks())
                .filteredOn(task -> task.evictions() > 0)
                .isNotEmpty()
                .allSatisfy(task -> {
                    assertThat(task.checkpoint()).isPositive();
                    assertThat(task.resumeCheckpoint()).isEqualTo(task.checkpoint());
                    assertThat(task.epoch()).isEqualTo(2);
                });
    }

    @Then("the job under profile {string} is unrunnable because {string}")
    public void assertUnrunnable(String profile, String reason) {
        assertThat(jobsOfProfile(profile)).singleElement().satisfies(task -> {
            assertThat(task.phase()).isEqualTo(TaskPhase.UNRUNNABLE);
            assertThat(task.decisions().getLast().rule()).contains(reason);
        });
    }

    private List<Task> jobsOfProfile(String profile) {
        return simulation.state().tasks().stream()
                .filter(task -> task.job().profile().equals(profile))
                .toList();
    }
}
