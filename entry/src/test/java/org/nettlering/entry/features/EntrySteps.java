package org.nettlering.entry.features;

import static org.assertj.core.api.Assertions.assertThat;
import static org.nettlering.entry.testing.EntryFixture.await;
import static org.nettlering.entry.testing.EntryFixture.header;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.ledger.LedgerKey;
import org.nettlering.domain.ledger.LedgerResult;
import org.nettlering.entry.settings.EntryLimits;
import org.nettlering.entry.testing.EntryFixture;
import org.nettlering.entry.testing.RawCaller;
import org.nettlering.entry.testing.ReceivedRequest;
import org.nettlering.entry.testing.ScriptedUpstream;
import org.nettlering.entry.testing.SwitchablePeer;

public final class EntrySteps {
    private static final String SERVICE = "previews";
    private static final String PATH = "/previews/1";

    /** Real time that a thread of the entry may take to set a timer on a busy machine. */
    private static final Duration RESEND_TIMEOUT = Duration.ofSeconds(5);

    private final EntryFixture entry = EntryFixture.start();
    private final Map<String, ScriptedUpstream> upstreams = new LinkedHashMap<>();
    private final Map<String, String> firstAnnouncements = new LinkedHashMap<>();
    private final List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
    private final List<ReceivedRequest> heldRequests = new ArrayList<>();
    private @Nullable EntryFixture second;
    private @Nullable SwitchablePeer peerOfFirst;
    private @Nullable CompletableFuture<String> rawResponse;
    private @Nullable CompletableFuture<Integer> stopResult;
    private @Nullable HttpResponse<String> announcementResponse;
    private @Nullable EntryFixture restartedEntry;

    @After
    public void closeEverything() {
        upstreams.values().forEach(ScriptedUpstream::close);
        entry.close();
        if (second != null) {
            second.close();
        }
        if (restartedEntry != null) {
            restartedEntry.close();
        }
    }

    // Upstreams

    @Given("an upstream {string} that answers {string}")
    public void upstreamResponds(String name, String text) {
        addUpstream(name, ScriptedUpstream.responding(text));
    }

    @Given("an upstream {string} that holds requests")
    @Given("an upstream {string} that never answers")
    public void upstreamHolds(String name) {
        addUpstream(name, ScriptedUpstream.unresponsive());
    }

    @Given("an upstream {string} that is gone")
    public void upstreamIsClosed(String name) {
        ScriptedUpstream upstream = ScriptedUpstream.unresponsive();
        upstream.close();
        addUpstream(name, upstream);
    }

    @Given("an upstream {string} that closes the connection after each request")
    public void upstreamClosesConnections(String name) {
        addUpstream(name, ScriptedUpstream.scripted(ReceivedRequest::close));
    }

    @Given("an upstream {string} that says that it did not run the request")
    public void upstreamRejectsAsNotRun(String name) {
        addUpstream(name, ScriptedUpstream.scripted(ReceivedRequest::rejectAsNotRun));
    }

    @Given("an upstream {string} that cuts its answer short once and then answers {string}")
    public void upstreamTruncatesFirstResponse(String name, String text) {
        AtomicBoolean truncated = new AtomicBoolean();
        addUpstream(name, ScriptedUpstream.scripted(request -> {
            if (truncated.compareAndSet(false, true)) {
                request.write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nnot the whole");
                request.close();
                return;
            }
            request.respond(200, text);
        }));
    }

    @Given("an upstream {string} that cuts a long answer short")
    public void upstreamTruncatesChunkedResponse(String name) {
        addUpstream(name, ScriptedUpstream.scripted(request -> {
            request.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbegin\r\n");
            request.close();
        }));
    }

    @Given("an upstream {string} that closes the connection in place of an end")
    public void upstreamRespondsWithoutLength(String name) {
        addUpstream(name, ScriptedUpstream.scripted(request -> {
            request.write("HTTP/1.1 200 OK\r\n\r\nperhaps whole");
            request.close();
        }));
    }

    @Given("an upstream {string} that answers each first request on a connection late")
    public void upstreamRespondsLate(String name) {
        addUpstream(name, ScriptedUpstream.scripted(heldRequests::add));
    }

    @Given("an upstream {string} that answers with the length of the body")
    public void upstreamRespondsWithBodyLength(String name) {
        addUpstream(
                name,
                ScriptedUpstream.scripted(request ->
                        request.respond(200, Integer.toString(request.body().length()))));
    }

    @When("the upstream now answers {string}")
    public void upstreamNowResponds(String text) {
        firstUpstream().setScript(request -> request.respond(200, text));
    }

    @When("the late answer {string} is written")
    public void writeLateResponse(String text) {
        try {
            heldRequests.getFirst().respond(200, text);
        } catch (java.io.UncheckedIOException exception) {
            // The entry has closed the connection, so the late response cannot reach another request.
        }
    }

    @When("upstream {string} announces that it leaves")
    public void upstreamAnnouncesLeaving(String name) {
        entry.announce(SERVICE, name, upstream(name), "LEAVING");
    }

    @When("the first announcement of upstream {string} arrives again")
    public void repeatFirstAnnouncement(String name) {
        entry.announce(String.valueOf(firstAnnouncements.get(name)));
    }

    @When("every open connection to upstream {string} goes silent")
    public void openConnectionsStopResponding(String name) {
        Set<Socket> opened = ConcurrentHashMap.newKeySet();
        upstream(name).setScript(request -> {
            if (request.requestsOnConnection() == 1) {
                opened.add(request.socket());
            }
            if (opened.contains(request.socket())) {
                request.respond(200, name);
            }
        });
    }

    @Then("upstream {string} is still used")
    public void upstreamIsStillUsed(String name) {
        assertThat(entry.get(PATH).statusCode()).isEqualTo(200);
        assertThat(upstream(name).requestCount()).isGreaterThanOrEqualTo(3);
    }

    // Callers

    @When("a caller gets a request")
    @When("a caller gets a third request")
    public void get() {
        responses.add(CompletableFuture.completedFuture(entry.get(PATH)));
    }

    @When("a caller gets a request and does not wait")
    @When("a caller gets a second request and does not wait")
    public void getWithoutWaiting() {
        firstUpstream().discardReceived();
        responses.add(entry.send(entry.request(PATH).build()));
        heldRequests.add(firstUpstream().take());
    }

    @When("a caller gets a request at the second entry")
    public void getAtSecond() {
        responses.add(CompletableFuture.completedFuture(second().get(PATH)));
    }

    @When("{int} callers get a request each")
    public void getSeveral(int count) {
        for (int number = 0; number < count; number++) {
            get();
        }
    }

    @When("{int} callers post a request each")
    public void postSeveral(int count) {
        for (int number = 0; number < count; number++) {
            post();
        }
    }

    @When("a caller posts a request")
    public void post() {
        responses.add(awaited(entry.post(PATH, "", "body")));
    }

    @When("a caller posts a request with a timeout of {int} ms")
    public void postWithTimeout(int millis) {
        HttpRequest request = entry.request(PATH)
                .POST(HttpRequest.BodyPublishers.ofString("body"))
                .header("Nettlering-Timeout-Millis", Integer.toString(millis))
                .build();
        responses.add(entry.send(request));
        firstUpstream().take();
    }

    @When("a caller puts a body of {int} bytes")
    public void put(int bytes) {
        HttpRequest request = entry.request(PATH)
                .PUT(HttpRequest.BodyPublishers.ofString("x".repeat(bytes)))
                .build();
        responses.add(awaited(entry.send(request)));
    }

    @When("a caller posts a request with key {string}")
    @When("the caller posts it again with key {string}")
    public void postWithKey(String key) {
        responses.add(awaited(entry.post(PATH, key, "body")));
    }

    @When("the caller posts another body with key {string}")
    public void postOtherBody(String key) {
        responses.add(awaited(entry.post(PATH, key, "another body")));
    }

    @When("the caller posts it again at the second entry with key {string}")
    public void postAtSecond(String key) {
        responses.add(awaited(second().post(PATH, key, "body")));
    }

    @When("a caller posts a request with key {string} and does not wait")
    public void postWithKeyWithoutWaiting(String key) {
        responses.add(entry.post(PATH, key, "body"));
        heldRequests.add(firstUpstream().take());
    }

    @When("the caller posts it again with key {string} and does not wait")
    public void postAgainWithoutWaiting(String key) {
        responses.add(entry.post(PATH, key, "body"));
    }

    @When("the upstream answers the held request with {string}")
    public void respondToHeldRequest(String text) {
        heldRequests.getFirst().respond(200, text);
        await(responses.getFirst());
    }

    @When("the upstream answers the {int} held requests with {string}")
    public void respondToHeldRequests(int count, String text) {
        assertThat(heldRequests).hasSize(count);
        heldRequests.forEach(request -> request.respond(200, text));
    }

    @When("a raw caller gets a request")
    public void rawGet() {
        RawCaller caller = new RawCaller(entry.process().callersPort());
        rawResponse =
                caller.write("GET " + PATH + " HTTP/1.1\r\nHost: a\r\n\r\n").readToEnd();
    }

    @When("a raw caller sends a request with header {string}")
    public void rawRequest(String line) {
        RawCaller caller = new RawCaller(entry.process().callersPort());
        String close = line.startsWith("Connection") ? "" : "Connection: close\r\n";
        rawResponse = caller.write("POST " + PATH + " HTTP/1.1\r\nHost: a\r\n" + close + line + "\r\n\r\n")
                .readToEnd();
    }

    @When("a raw caller sends a head of {int} bytes")
    public void rawLongHead(int bytes) {
        RawCaller caller = new RawCaller(entry.process().callersPort());
        rawResponse = caller.write("GET / HTTP/1.1\r\nHost: a\r\nX-Long: " + "x".repeat(bytes) + "\r\n\r\n")
                .readToEnd();
    }

    // Entries and control members

    @Given("a second entry")
    public void secondEntry() {
        SwitchablePeer peer = new SwitchablePeer(entry.time());
        peer.connect(entry.process().peerHandler());
        peerOfFirst = peer;
        second = EntryFixture.start(
                "entry-2", entry.time(), entry.control(), EntryLimits.DEFAULTS, Map.of("entry-1", peer));
    }

    @When("the entries are cut off from each other")
    public void partitionEntries() {
        peer().setUnresponsive(true);
    }

    @When("the first entry dies")
    public void firstEntryFails() {
        peer().setUnresponsive(true);
        upstreams.values().forEach(upstream -> second().announce(SERVICE, "other", upstream, "SERVING"));
    }

    @When("{int} ms pass")
    public void advanceClock(int millis) {
        entry.advance(Duration.ofMillis(millis));
    }

    /**
     * Advances the clock while a resend waits for the first attempt.
     *
     * <p>The entry looks up the key of the resend on its own thread. If that thread has not set its timer yet when the clock
     * advances, the timer counts from the later time, so the clock is advanced a second time.
     */
    @When("{int} ms pass after the resend has begun to wait")
    public void advanceClockAfterResendWaits(int millis) throws InterruptedException, ExecutionException {
        entry.advance(Duration.ofMillis(millis));
        try {
            responses.getLast().get(RESEND_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (TimeoutException timerSetAfterClockMoved) {
            entry.advance(Duration.ofMillis(millis));
        }
    }

    @When("{int} ms pass after it reached the upstream")
    public void advanceClockAfterUpstreamReceives(int millis) {
        entry.advance(Duration.ofMillis(millis));
    }

    @Given("the control members accept a service {string}")
    public void acceptService(String name) {
        entry.control().applyChanges(EntryFixture.putService(name, 10_000));
    }

    @Given("the control members have no leader")
    public void noLeader() {
        entry.control().setHasLeader(false);
    }

    @When("the control members go silent")
    public void controlStopsResponding() {
        entry.control().setUnresponsive(true);
    }

    @When("only {int} control member is reachable")
    public void reachableMembers(int count) {
        entry.control().setReachableMembers(count);
    }

    @When("the leader answers with revision {int}")
    public void forceRevision(int revision) {
        entry.control().forceRevision(revision);
    }

    @When("the entry is restarted")
    public void restart() {
        restartedEntry = EntryFixture.start("entry-1", entry.time(), entry.control(), EntryLimits.DEFAULTS, Map.of());
    }

    @When("the entry is told to stop")
    public void stop() {
        stopResult = entry.process().stop().toCompletableFuture();
    }

    @When("an upstream announces {}")
    public void announce(String json) {
        announcementResponse = entry.announce(json);
    }

    // Expected results

    @Then("the caller got {string}")
    public void callerGot(String text) {
        assertThat(await(responses.getLast()).body()).isEqualTo(text);
    }

    @Then("every caller got {string}")
    @Then("both times the caller got {string}")
    @Then("both callers got {string}")
    public void everyCallerGot(String text) {
        assertThat(responses)
                .allSatisfy(response -> assertThat(await(response).body()).isEqualTo(text));
    }

    @Then("both waiting callers get {string}")
    public void waitingCallersGet(String text) {
        assertThat(await(responses.get(0)).body()).isEqualTo(text);
        assertThat(await(responses.get(1)).body()).isEqualTo(text);
    }

    @Then("the waiting caller gets {string}")
    public void waitingCallerGets(String text) {
        assertThat(await(responses.getLast()).body()).isEqualTo(text);
    }

    @Then("the caller is told {string} with code {string} at once")
    public void callerReceivesError(String outcome, String code) {
        HttpResponse<String> response = await(responses.getLast());
        assertThat(header(response, "Nettlering-Outcome")).isEqualTo(outcome);
        assertThat(header(response, "Nettlering-Error")).isEqualTo(code);
    }

    @Then("the caller is told when to come back")
    public void callerReceivesRetryAfter() {
        assertThat(header(await(responses.getLast()), "Retry-After")).matches("[1-9][0-9]*");
    }

    @Then("the upstreams got {int} request(s) altogether")
    public void upstreamsGot(int count) {
        assertThat(upstreams.values().stream()
                        .mapToInt(ScriptedUpstream::requestCount)
                        .sum())
                .isEqualTo(count);
    }

    @Then("the upstreams got at most {int} requests altogether")
    public void upstreamsGotAtMost(int count) {
        assertThat(upstreams.values().stream()
                        .mapToInt(ScriptedUpstream::requestCount)
                        .sum())
                .isLessThanOrEqualTo(count);
    }

    /** Waits for the key to be released, which the entry does on its own thread after it has responded to the caller. */
    @Then("the key {string} is free")
    public void keyIsFree(String key) {
        Instant now = entry.time().instant();
        LedgerKey ledgerKey = new LedgerKey(SERVICE, key);
        long deadlineNanos = System.nanoTime() + EntryFixture.AWAIT_TIMEOUT.toNanos();
        while (!(entry.control().ledger().lookUp(ledgerKey, now) instanceof LedgerResult.Absent)
                && System.nanoTime() - deadlineNanos < 0) {
            Thread.onSpinWait();
        }
        assertThat(entry.control().ledger().lookUp(ledgerKey, now)).isInstanceOf(LedgerResult.Absent.class);
    }

    @Then("the raw caller sees a connection that broke before the end of the answer")
    public void rawCallerSeesBreak() {
        assertThat(await(startedRawResponse())).contains("200 OK").doesNotContain("\r\n0\r\n");
    }

    @Then("the raw caller gets status {int} with code {string}")
    public void rawCallerGets(int status, String code) {
        assertThat(await(startedRawResponse()))
                .startsWith("HTTP/1.1 " + status)
                .containsIgnoringCase("Nettlering-Error: " + code);
    }

    @Then("invalid input of kind {string} is counted")
    public void invalidInputIsCounted(String kind) {
        assertThat(entry.metrics()).contains("nettlering_entry_invalid_input_total{kind=\"" + kind + "\"}");
    }

    @Then("the replaced connections are counted")
    public void replacedConnectionsAreCounted() {
        assertThat(entry.metrics()).contains("nettlering_entry_replaced_connections_total 1");
    }

    @Then("the announcement is refused with status {int}")
    public void announcementRefused(int status) {
        assertThat(announcementResponse).extracting(HttpResponse::statusCode).isEqualTo(status);
    }

    @Then("the entry is ready")
    public void isReady() {
        assertThat(latestEntry().process().readiness().reason()).isEqualTo("ready");
    }

    @Then("the entry is not ready")
    public void isNotReady() {
        assertThat(latestEntry().process().readiness().isReady()).isFalse();
    }

    @Then("the entry is at the latest revision")
    public void atLatestRevision() {
        assertThat(entry.process().configurationClient().current().revision())
                .isEqualTo(entry.control().revision());
    }

    @Then("the entry has stopped and cut off {int} requests")
    public void hasStopped(int count) {
        assertThat(stopResult).succeedsWithin(EntryFixture.AWAIT_TIMEOUT).isEqualTo(count);
    }

    private void addUpstream(String name, ScriptedUpstream upstream) {
        upstreams.put(name, upstream);
        HttpResponse<String> response = entry.announce(SERVICE, name, upstream, "SERVING");
        assertThat(response.statusCode()).isEqualTo(200);
        firstAnnouncements.put(name, entry.lastAnnouncement());
        if (second != null) {
            entry.advance(Duration.ofMillis(300));
        }
    }

    private static CompletableFuture<HttpResponse<String>> awaited(CompletableFuture<HttpResponse<String>> response) {
        await(response);
        return response;
    }

    private ScriptedUpstream upstream(String name) {
        ScriptedUpstream upstream = upstreams.get(name);
        if (upstream == null) {
            throw new IllegalStateException("no upstream " + name);
        }
        return upstream;
    }

    private ScriptedUpstream firstUpstream() {
        return upstream("one");
    }

    private EntryFixture second() {
        EntryFixture other = second;
        if (other == null) {
            throw new IllegalStateException("there is no second entry");
        }
        return other;
    }

    private SwitchablePeer peer() {
        SwitchablePeer peer = peerOfFirst;
        if (peer == null) {
            throw new IllegalStateException("there is no second entry");
        }
        return peer;
    }

    private CompletableFuture<String> startedRawResponse() {
        CompletableFuture<String> started = rawResponse;
        if (started == null) {
            throw new IllegalStateException("no raw request was sent");
        }
        return started;
    }

    private EntryFixture latestEntry() {
        EntryFixture latest = restartedEntry;
        return latest == null ? entry : latest;
    }
}
