package org.nettlering.benchmarks.capacity;

import io.vertx.core.Future;
import io.vertx.core.net.SocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import org.nettlering.standins.http.Addresses;
import org.nettlering.standins.http.JsonClient;
import org.nettlering.standins.site.LocalSite;
import org.nettlering.standins.site.Waiting;
import org.nettlering.wire.proto.ConfigurationProto.ConfigurationChange;
import org.nettlering.wire.proto.ConfigurationProto.ConfigurationCommand;
import org.nettlering.wire.proto.ConfigurationProto.ConfigurationResult;
import org.nettlering.wire.proto.ConfigurationProto.SiteConfiguration;
import org.nettlering.wire.proto.ConfigurationProto.Team;
import org.nettlering.wire.proto.TaskProto.JobSpecification;
import org.nettlering.wire.proto.TaskProto.Resources;
import org.nettlering.wire.proto.TaskProto.SubmitJob;

/**
 * Submits jobs and changes the configuration over the operators' port of an entry.
 *
 * <p>Not thread-safe.
 */
final class SiteChanges {
    /** The team of all jobs. */
    static final String TEAM = "capacity";

    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final Duration RUNNING_LIMIT = Duration.ofMinutes(2);
    private static final int BATCH = 50;
    private static final long RUN_TIME_MILLIS = 3_600_000;
    private static final Resources DECLARED = Resources.newBuilder()
            .setMillicores(1_000)
            .setMemoryMebibytes(1_000)
            .build();

    /** Sends the changes. */
    private final JsonClient client;

    /** The operators' port of the entry. */
    private final SocketAddress entry;

    /** The number of jobs that were submitted. */
    private int jobs;

    static SiteChanges of(LocalSite site) {
        return new SiteChanges(site);
    }

    private SiteChanges(LocalSite site) {
        this.client = JsonClient.create(site.vertx(), TIMEOUT);
        this.entry = Addresses.parse(site.entries().getFirst().operators());
    }

    /** Submits long jobs and waits until the workers have started them. */
    void startJobs(int count, LongSupplier started) {
        int total = jobs + count;
        while (jobs < total) {
            List<Future<String>> batch = new ArrayList<>();
            while (batch.size() < BATCH && jobs < total) {
                batch.add(client.post(entry, "/v1/jobs", submission(jobs)));
                jobs++;
            }
            Waiting.forAnswer("submission of jobs", TIMEOUT, Future.all(batch));
        }
        Waiting.until("the start of all jobs", RUNNING_LIMIT, () -> started.getAsLong() >= total);
    }

    /** Makes changes one after the other. */
    void changeConfiguration(int count) {
        long revision = revision();
        for (int number = 0; number < count; number++) {
            ConfigurationCommand command = ConfigurationCommand.newBuilder()
                    .setOperationId("capacity-" + revision)
                    .setOperatorName("bench")
                    .setExpectedRevision(revision)
                    .addChanges(ConfigurationChange.newBuilder()
                            .setPutTeam(Team.newBuilder()
                                    .setName(TEAM + "-" + number % 10)
                                    .setMillicores(1_000L + number)))
                    .build();
            String json = Waiting.forAnswer(
                    "configuration change", TIMEOUT, client.post(entry, "/v1/configuration/changes", command));
            revision = JsonClient.read(json, ConfigurationResult.newBuilder()).getRevision();
        }
    }

    private long revision() {
        String json = Waiting.forAnswer("configuration", TIMEOUT, client.get(entry, "/v1/configuration"));
        return JsonClient.read(json, SiteConfiguration.newBuilder()).getRevision();
    }

    private static SubmitJob submission(int number) {
        JobSpecification job = JobSpecification.newBuilder()
                .setJobId("job-" + number)
                .setTeam(TEAM)
                .setProfile("batch")
                .setWorkClass("capacity")
                .setDeclared(DECLARED)
                .setPowerMilliwatts(1_000)
                .setDeclaredRunTimeMillis(RUN_TIME_MILLIS)
                .build();
        return SubmitJob.newBuilder()
                .setOperationId("submit-" + number)
                .setJob(job)
                .build();
    }
}
