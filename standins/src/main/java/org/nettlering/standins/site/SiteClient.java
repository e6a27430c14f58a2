package org.nettlering.standins.site;

import io.vertx.core.Vertx;
import io.vertx.core.net.SocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.standins.http.Addresses;
import org.nettlering.standins.http.JsonClient;
import org.nettlering.wire.proto.ConfigurationProto.SiteConfiguration;
import org.nettlering.wire.proto.MembershipProto.MembershipResponse;
import org.nettlering.wire.proto.TaskProto.JobList;
import org.nettlering.wire.proto.TaskProto.JobStatus;
import org.nettlering.wire.proto.TaskProto.PowerStatus;

/**
 * Asks the operators' ports of the entries for the state of the site.
 *
 * <p>Each question goes to the entries in order until one answers. Thread-safe.
 */
public final class SiteClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(3);

    /** Sends the questions. */
    private final JsonClient client;

    /** The operators' ports. */
    private final List<SocketAddress> entries;

    static SiteClient create(Vertx vertx, List<EntryHost> entries) {
        return new SiteClient(vertx, entries);
    }

    private SiteClient(Vertx vertx, List<EntryHost> entries) {
        this.client = JsonClient.create(vertx, TIMEOUT);
        this.entries = entries.stream()
                .map(entry -> Addresses.parse(entry.operators()))
                .toList();
    }

    /**
     * Returns whether an address answers a path with 2xx.
     *
     * @param address as {@code IP:PORT}, not null
     * @param path the path to get, not null
     * @return true for a 2xx answer
     */
    public boolean answers(String address, String path) {
        return fetch(Addresses.parse(address), path).isPresent();
    }

    /**
     * Returns the control leader.
     *
     * @return its member id, or empty if no entry names one, never null
     */
    public Optional<String> leader() {
        return ask("/v1/members")
                .map(json -> JsonClient.read(json, MembershipResponse.newBuilder())
                        .build()
                        .getLeaderId())
                .filter(leader -> !leader.isEmpty());
    }

    /**
     * Returns the jobs.
     *
     * @return the jobs, or none if no entry answers, never null
     */
    public List<JobStatus> jobs() {
        return ask("/v1/jobs")
                .map(json -> JsonClient.read(json, JobList.newBuilder()).build().getJobsList())
                .orElse(List.of());
    }

    /**
     * Returns the committed power.
     *
     * @return the power, or empty if no entry answers, never null
     */
    public Optional<PowerStatus> power() {
        return ask("/v1/power")
                .map(json -> JsonClient.read(json, PowerStatus.newBuilder()).build());
    }

    /**
     * Returns the revision of the configuration.
     *
     * @return the revision, or zero if no entry answers
     */
    public long revision() {
        return ask("/v1/configuration")
                .map(json ->
                        JsonClient.read(json, SiteConfiguration.newBuilder()).getRevision())
                .orElse(0L);
    }

    private Optional<String> ask(String path) {
        for (SocketAddress entry : entries) {
            Optional<String> answer = fetch(entry, path);
            if (answer.isPresent()) {
                return answer;
            }
        }
        return Optional.empty();
    }

    private Optional<String> fetch(SocketAddress address, String path) {
        try {
            return Optional.of(Waiting.forAnswer(path, TIMEOUT, client.get(address, path)));
        } catch (NettleringException unanswered) {
            return Optional.empty();
        }
    }
}
