package org.nettlering.control.task;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import org.nettlering.domain.configuration.Profile;
import org.nettlering.domain.configuration.SiteConfiguration;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.power.PowerForecast;
import org.nettlering.domain.profile.Profiles;
import org.nettlering.domain.task.Task;
import org.nettlering.domain.task.TaskState;
import org.nettlering.domain.task.Worker;
import org.nettlering.wire.codec.TaskCodec;
import org.nettlering.wire.proto.TaskProto;
import org.nettlering.wire.proto.TaskProto.TaskResponse;

/** Makes the responses to readers of the task state. Stateless and thread-safe. */
final class TaskResponses {
    private TaskResponses() {}

    static TaskResponse job(Task task) {
        return TaskResponse.newBuilder().setJob(TaskCodec.status(task)).build();
    }

    static TaskResponse jobs(TaskState state) {
        TaskProto.JobList.Builder list = TaskProto.JobList.newBuilder();
        for (Task task : state.tasks()) {
            list.addJobs(TaskCodec.status(task).toBuilder().clearDecisions());
        }
        return TaskResponse.newBuilder().setJobs(list).build();
    }

    static TaskResponse worker(Worker worker, long nowMillis) {
        return TaskResponse.newBuilder()
                .setWorker(TaskCodec.status(worker, nowMillis))
                .build();
    }

    static TaskResponse power(TaskState state, SiteConfiguration configuration, long nowMillis) {
        PowerForecast outlook = PowerForecast.of(state, configuration, nowMillis);
        TaskProto.PowerStatus.Builder power = TaskProto.PowerStatus.newBuilder()
                .setCapMilliwatts(configuration.powerCapMilliwatts())
                .setCommittedMilliwatts(state.allocatedMilliwatts())
                .setPeakCommittedMilliwatts(state.peakMilliwatts())
                .setAboveCap(outlook.isAboveCap())
                .setExpectedMetUnixMillis(outlook.expectedMetMillis())
                .setExplanation(outlook.explanation());
        long budget = Math.max(0, configuration.powerCapMilliwatts() - state.idleMilliwatts());
        Map<String, Long> committed = committedByProfile(state, configuration);
        for (Profile profile : configuration.profiles().values()) {
            power.addProfiles(TaskProto.ProfilePower.newBuilder()
                    .setProfile(profile.name())
                    .setShareMilliwatts(budget * profile.powerSharePercent() / 100)
                    .setCommittedMilliwatts(committed.getOrDefault(profile.name(), 0L)));
        }
        return TaskResponse.newBuilder().setPower(power).build();
    }

    private static Map<String, Long> committedByProfile(TaskState state, SiteConfiguration configuration) {
        Map<String, Long> committed = new HashMap<>();
        for (Worker worker : state.workers()) {
            for (Task task : worker.tasks()) {
                Profiles.of(configuration, task.job())
                        .ifPresent(profile -> committed.merge(profile.name(), task.allocatedMilliwatts(), Long::sum));
            }
        }
        return committed;
    }

    static ErrorCode errorCode(String text) {
        return Arrays.stream(ErrorCode.values())
                .filter(code -> code.text().equals(text))
                .findFirst()
                .orElse(ErrorCode.INTERNAL);
    }
}
