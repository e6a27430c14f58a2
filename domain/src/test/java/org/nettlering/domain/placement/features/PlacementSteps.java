package org.nettlering.domain.placement.features;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.List;
import org.nettlering.domain.placement.Jobs;
import org.nettlering.domain.placement.ScoredPlanner;
import org.nettlering.domain.placement.SmallSite;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.task.Task;
import org.nettlering.domain.task.TaskPhase;

/** Steps over the pure placement logic with a few obedient workers. */
public final class PlacementSteps {
    private final SmallSite site = new SmallSite(ScoredPlanner.create(), Jobs.configuration(1, Jobs.CAP_MILLIWATTS));
    private long revision = 1;
    private int submitted;

    @Given("{int} workers of {int} processors")
    public void workers(int count, int processors) {
        for (int number = 1; number <= count; number++) {
            site.addWorker("worker-" + number, "rack-" + number, Resources.of(processors * 1_000L, 64_000, 0));
        }
    }

    @Given("a power cap of {int} watts")
    @When("the power cap is lowered to {int} watts")
    public void cap(int watts) {
        site.configure(Jobs.configuration(++revision, watts * 1_000L));
    }

    @When("{int} jobs of {int} processor are submitted under profile {string}")
    public void submit(int count, int processors, String profile) {
        for (int number = 0; number < count; number++) {
            site.submit(Jobs.job("job-" + submitted++, profile, processors * 1_000L));
        }
    }

    @Given("{int} jobs of {int} processor run under profile {string}")
    public void run(int count, int processors, String profile) {
        submit(count, processors, profile);
        site.steps(2);
        assertThat(jobs(profile)).allSatisfy(task -> assertThat(task.phase()).isEqualTo(TaskPhase.RUNNING));
    }

    @When("{int} seconds pass")
    public void pass(int seconds) {
        site.steps(seconds);
    }

    @When("worker {int} is lost")
    public void lose(int number) {
        site.lose("worker-" + number);
    }

    @When("every job under profile {string} completes")
    public void complete(String profile) {
        jobs(profile).forEach(task -> site.complete(task.job().jobId()));
    }

    @When("every job under profile {string} is cancelled")
    public void cancel(String profile) {
        jobs(profile).forEach(task -> site.cancel(task.job().jobId()));
    }

    @Then("{int} jobs run")
    public void running(int count) {
        assertThat(site.state().tasks())
                .filteredOn(task -> task.phase() == TaskPhase.RUNNING)
                .hasSize(count);
    }

    @Then("no worker is committed beyond what it offers")
    public void withinCapacity() {
        assertThat(site.state().workers()).allMatch(worker -> worker.allocated().fitsIn(worker.capacity()));
    }

    @Then("the committed draw is at most {int} watts")
    public void draw(int watts) {
        assertThat(site.state().allocatedMilliwatts()).isBetween(1L, watts * 1_000L);
    }

    @Then("nothing is committed")
    public void nothing() {
        assertThat(site.state().allocatedMilliwatts()).isZero();
        assertThat(site.state().workers()).allMatch(worker -> worker.allocated().equals(Resources.NONE));
    }

    @Then("every job under profile {string} runs at full speed")
    public void fullSpeed(String profile) {
        assertThat(jobs(profile)).isNotEmpty().allSatisfy(task -> {
            assertThat(task.phase()).isEqualTo(TaskPhase.RUNNING);
            assertThat(task.requestedSpeedPercent()).isEqualTo(100);
        });
    }

    @Then("no job runs in two places")
    public void onePlace() {
        assertThat(site.state().tasks())
                .allSatisfy(task ->
                        assertThat(site.timesRunning(task.job().jobId())).isLessThanOrEqualTo(1));
    }

    @Then("every evicted job resumed from its last checkpoint")
    public void resumed() {
        assertThat(site.state().tasks())
                .filteredOn(task -> task.evictions() > 0)
                .isNotEmpty()
                .allSatisfy(task -> {
                    assertThat(task.checkpoint()).isPositive();
                    assertThat(task.resumeCheckpoint()).isEqualTo(task.checkpoint());
                    assertThat(task.epoch()).isEqualTo(2);
                });
    }

    @Then("the job under profile {string} is unrunnable because {string}")
    public void unrunnable(String profile, String reason) {
        assertThat(jobs(profile)).singleElement().satisfies(task -> {
            assertThat(task.phase()).isEqualTo(TaskPhase.UNRUNNABLE);
            assertThat(task.decisions().getLast().rule()).contains(reason);
        });
    }

    private List<Task> jobs(String profile) {
        return site.state().tasks().stream()
                .filter(task -> task.job().profile().equals(profile))
                .toList();
    }
}
