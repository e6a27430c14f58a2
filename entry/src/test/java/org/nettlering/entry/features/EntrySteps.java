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

    /** How long, in real time, a thread of the entry may take to set a timer on a busy machine. */
    private static final Duration RESEND_PATIENCE = Duration.ofSeconds(5);

    private final EntryFixture entry = EntryFixture.start();
    private final Map<String, ScriptedUpstream> upstreams = new LinkedHashMap<>();
    private final Map<String, String> firstAnnouncements = new LinkedHashMap<>();
    private final List<CompletableFuture<HttpResponse<String>>> sent = new ArrayList<>();
    private final List<ReceivedRequest> held = new ArrayList<>();
    private @Nullable EntryFixture second;
    private @Nullable SwitchablePeer toFirst;
    private @Nullable CompletableFuture<String> rawAnswer;
    private @Nullable CompletableFuture<Integer> stopped;
    private @Nullable HttpResponse<String> announced;
    private @Nullable EntryFixture restarted;

    @After
    public void closeEverything() {
        upstreams.values().forEach(ScriptedUpstream::close);
        entry.close();
        if (second != null) {
            second.close();
        }
        if (restarted != null) {
            restarted.close();
        }
    }

    // Upstreams

    @Given("an upstream {string} that answers {string}")
    public void upstreamAnswers(String name, String text) {
        add(name, ScriptedUpstream.answering(text));
    }

    @Given("an upstream {string} that holds requests")
    @Given("an upstream {string} that never answers")
    public void upstreamHolds(String name) {
        add(name, ScriptedUpstream.holding());
    }

    @Given("an upstream {string} that is gone")
    public void upstreamIsGone(String name) {
        ScriptedUpstream upstream = ScriptedUpstream.holding();
        upstream.close();
        add(name, upstream);
    }

    @Given("an upstream {string} that closes the connection after each request")
    public void upstreamCloses(String name) {
        add(name, ScriptedUpstream.doing(ReceivedRequest::close));
    }

    @Given("an upstream {string} that says that it did not run the request")
    public void upstreamRefuses(String name) {
        add(name, ScriptedUpstream.doing(ReceivedRequest::refuseAsNotRun));
    }

    @Given("an upstream {string} that cuts its answer short once and then answers {string}")
    public void upstreamCutsOnce(String name, String text) {
        AtomicBoolean cut = new AtomicBoolean();
        add(name, ScriptedUpstream.doing(request -> {
            if (cut.compareAndSet(false, true)) {
                request.write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nnot the whole");
                request.close();
                return;
            }
            request.answer(200, text);
        }));
    }

    @Given("an upstream {string} that cuts a long answer short")
    public void upstreamCutsLongAnswer(String name) {
        add(name, ScriptedUpstream.doing(request -> {
            request.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbegin\r\n");
            request.close();
        }));
    }

    @Given("an upstream {string} that closes the connection in place of an end")
    public void upstreamWithoutLength(String name) {
        add(name, ScriptedUpstream.doing(request -> {
            request.write("HTTP/1.1 200 OK\r\n\r\nperhaps whole");
            request.close();
        }));
    }

    @Given("an upstream {string} that answers each first request on a connection late")
    public void upstreamAnswersLate(String name) {
        add(name, ScriptedUpstream.doing(held::add));
    }

    @Given("an upstream {string} that answers with the length of the body")
    public void upstreamMeasures(String name) {
        add(
                name,
                ScriptedUpstream.doing(request ->
                        request.answer(200, Integer.toString(request.body().length()))));
    }

    @When("the upstream now answers {string}")
    public void upstreamNowAnswers(String text) {
        one().setScript(request -> request.answer(200, text));
    }

    @When("the late answer {string} is written")
    public void lateAnswer(String text) {
        try {
            held.getFirst().answer(200, text);
        } catch (java.io.UncheckedIOException exception) {
            // The entry has closed the connection, which is what keeps the answer away from other requests.
        }
    }

    @When("upstream {string} announces that it leaves")
    public void upstreamLeaves(String name) {
        entry.announce(SERVICE, name, upstream(name), "LEAVING");
    }

    @When("the first announcement of upstream {string} arrives again")
    public void firstAnnouncementAgain(String name) {
        entry.announce(String.valueOf(firstAnnouncements.get(name)));
    }

    @When("every open connection to upstream {string} goes silent")
    public void connectionsGoSilent(String name) {
        Set<Socket> opened = ConcurrentHashMap.newKeySet();
        upstream(name).setScript(request -> {
            if (request.requestsOnConnection() == 1) {
                opened.add(request.socket());
            }
            if (opened.contains(request.socket())) {
                request.answer(200, name);
            }
        });
    }

    @Then("upstream {string} is still used")
    public void upstreamStillUsed(String name) {
        assertThat(entry.get(PATH).statusCode()).isEqualTo(200);
        assertThat(upstream(name).count()).isGreaterThanOrEqualTo(3);
    }

    // Callers

    @When("a caller gets a request")
    @When("a caller gets a third request")
    public void get() {
        sent.add(CompletableFuture.completedFuture(entry.get(PATH)));
    }

    @When("a caller gets a request and does not wait")
    @When("a caller gets a second request and does not wait")
    public void getWithoutWaiting() {
        one().forget();
        sent.add(entry.send(entry.request(PATH).build()));
        held.add(one().take());
    }

    @When("a caller gets a request at the second entry")
    public void getAtSecond() {
        sent.add(CompletableFuture.completedFuture(second().get(PATH)));
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
        sent.add(waited(entry.post(PATH, "", "body")));
    }

    @When("a caller posts a request with a timeout of {int} ms")
    public void postWithTimeout(int millis) {
        HttpRequest request = entry.request(PATH)
                .POST(HttpRequest.BodyPublishers.ofString("body"))
                .header("Nettlering-Timeout-Millis", Integer.toString(millis))
                .build();
        sent.add(entry.send(request));
        one().take();
    }

    @When("a caller puts a body of {int} bytes")
    public void put(int bytes) {
        HttpRequest request = entry.request(PATH)
                .PUT(HttpRequest.BodyPublishers.ofString("x".repeat(bytes)))
                .build();
        sent.add(waited(entry.send(request)));
    }

    @When("a caller posts a request with key {string}")
    @When("the caller posts it again with key {string}")
    public void postWithKey(String key) {
        sent.add(waited(entry.post(PATH, key, "body")));
    }

    @When("the caller posts another body with key {string}")
    public void postOtherBody(String key) {
        sent.add(waited(entry.post(PATH, key, "another body")));
    }

    @When("the caller posts it again at the second entry with key {string}")
    public void postAtSecond(String key) {
        sent.add(waited(second().post(PATH, key, "body")));
    }

    @When("a caller posts a request with key {string} and does not wait")
    public void postWithKeyWithoutWaiting(String key) {
        sent.add(entry.post(PATH, key, "body"));
        held.add(one().take());
    }

    @When("the caller posts it again with key {string} and does not wait")
    public void postAgainWithoutWaiting(String key) {
        sent.add(entry.post(PATH, key, "body"));
    }

    @When("the upstream answers the held request with {string}")
    public void answerHeld(String text) {
        held.getFirst().answer(200, text);
        await(sent.getFirst());
    }

    @When("the upstream answers the {int} held requests with {string}")
    public void answerAllHeld(int count, String text) {
        assertThat(held).hasSize(count);
        held.forEach(request -> request.answer(200, text));
    }

    @When("a raw caller gets a request")
    public void rawGet() {
        RawCaller caller = new RawCaller(entry.process().callersPort());
        rawAnswer = caller.write("GET " + PATH + " HTTP/1.1\r\nHost: a\r\n\r\n").readToEnd();
    }

    @When("a raw caller sends a request with header {string}")
    public void rawRequest(String line) {
        RawCaller caller = new RawCaller(entry.process().callersPort());
        String close = line.startsWith("Connection") ? "" : "Connection: close\r\n";
        rawAnswer = caller.write("POST " + PATH + " HTTP/1.1\r\nHost: a\r\n" + close + line + "\r\n\r\n")
                .readToEnd();
    }

    @When("a raw caller sends a head of {int} bytes")
    public void rawLongHead(int bytes) {
        RawCaller caller = new RawCaller(entry.process().callersPort());
        rawAnswer = caller.write("GET / HTTP/1.1\r\nHost: a\r\nX-Long: " + "x".repeat(bytes) + "\r\n\r\n")
                .readToEnd();
    }

    // The entries and the control members

    @Given("a second entry")
    public void secondEntry() {
        SwitchablePeer peer = new SwitchablePeer(entry.time());
        peer.connect(entry.process().peerHandler());
        toFirst = peer;
        second = EntryFixture.start(
                "entry-2", entry.time(), entry.control(), EntryLimits.DEFAULTS, Map.of("entry-1", peer));
    }

    @When("the entries are cut off from each other")
    public void cutOff() {
        peer().setSilent(true);
    }

    @When("the first entry dies")
    public void firstEntryDies() {
        peer().setSilent(true);
        upstreams.values().forEach(upstream -> second().announce(SERVICE, "other", upstream, "SERVING"));
    }

    @When("{int} ms pass")
    public void pass(int millis) {
        entry.advance(Duration.ofMillis(millis));
    }

    /**
     * Lets time pass after the resend has begun to wait.
     *
     * <p>The entry asks the ledger for the resend on a thread of its own. If it has been told that the first attempt is in flight
     * but has not set its timer when the clock moves, the timer counts from the later time, and the clock has to move again.
     */
    @When("{int} ms pass after the resend has begun to wait")
    public void passAfterResend(int millis) throws InterruptedException, ExecutionException {
        entry.advance(Duration.ofMillis(millis));
        try {
            sent.getLast().get(RESEND_PATIENCE.toMillis(), TimeUnit.MILLISECONDS);
        } catch (TimeoutException timerWasSetLater) {
            entry.advance(Duration.ofMillis(millis));
        }
    }

    @When("{int} ms pass after it reached the upstream")
    public void passAfterReaching(int millis) {
        entry.advance(Duration.ofMillis(millis));
    }

    @Given("the control members accept a service {string}")
    public void acceptService(String name) {
        entry.control().change(EntryFixture.putService(name, 10_000));
    }

    @Given("the control members have no leader")
    public void noLeader() {
        entry.control().setLeader(false);
    }

    @When("the control members go silent")
    public void controlSilent() {
        entry.control().setSilent(true);
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
        restarted = EntryFixture.start("entry-1", entry.time(), entry.control(), EntryLimits.DEFAULTS, Map.of());
    }

    @When("the entry is told to stop")
    public void stop() {
        stopped = entry.process().stop().toCompletableFuture();
    }

    @When("an upstream announces {}")
    public void announce(String json) {
        announced = entry.announce(json);
    }

    // What is seen

    @Then("the caller got {string}")
    public void callerGot(String text) {
        assertThat(await(sent.getLast()).body()).isEqualTo(text);
    }

    @Then("every caller got {string}")
    @Then("both times the caller got {string}")
    @Then("both callers got {string}")
    public void everyCallerGot(String text) {
        assertThat(sent)
                .allSatisfy(response -> assertThat(await(response).body()).isEqualTo(text));
    }

    @Then("both waiting callers get {string}")
    public void waitingCallersGet(String text) {
        assertThat(await(sent.get(0)).body()).isEqualTo(text);
        assertThat(await(sent.get(1)).body()).isEqualTo(text);
    }

    @Then("the waiting caller gets {string}")
    public void waitingCallerGets(String text) {
        assertThat(await(sent.getLast()).body()).isEqualTo(text);
    }

    @Then("the caller is told {string} with code {string} at once")
    public void callerIsTold(String outcome, String code) {
        HttpResponse<String> response = await(sent.getLast());
        assertThat(header(response, "Nettlering-Outcome")).isEqualTo(outcome);
        assertThat(header(response, "Nettlering-Error")).isEqualTo(code);
    }

    @Then("the caller is told when to come back")
    public void toldWhenToComeBack() {
        assertThat(header(await(sent.getLast()), "Retry-After")).matches("[1-9][0-9]*");
    }

    @Then("the upstreams got {int} request(s) altogether")
    public void upstreamsGot(int count) {
        assertThat(upstreams.values().stream().mapToInt(ScriptedUpstream::count).sum())
                .isEqualTo(count);
    }

    @Then("the upstreams got at most {int} requests altogether")
    public void upstreamsGotAtMost(int count) {
        assertThat(upstreams.values().stream().mapToInt(ScriptedUpstream::count).sum())
                .isLessThanOrEqualTo(count);
    }

    /** Waits for a key to be freed: the entry frees it on its own thread, while the caller has its answer already. */
    @Then("the key {string} is free")
    public void keyIsFree(String key) {
        Instant now = entry.time().instant();
        LedgerKey ledgerKey = new LedgerKey(SERVICE, key);
        long patienceEndsNanos = System.nanoTime() + EntryFixture.PATIENCE.toNanos();
        while (!(entry.control().ledger().lookUp(ledgerKey, now) instanceof LedgerResult.Absent)
                && System.nanoTime() - patienceEndsNanos < 0) {
            Thread.onSpinWait();
        }
        assertThat(entry.control().ledger().lookUp(ledgerKey, now)).isInstanceOf(LedgerResult.Absent.class);
    }

    @Then("the raw caller sees a connection that broke before the end of the answer")
    public void rawCallerSeesBreak() {
        assertThat(await(raw())).contains("200 OK").doesNotContain("\r\n0\r\n");
    }

    @Then("the raw caller gets status {int} with code {string}")
    public void rawCallerGets(int status, String code) {
        assertThat(await(raw())).startsWith("HTTP/1.1 " + status).containsIgnoringCase("Nettlering-Error: " + code);
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
        assertThat(announced).extracting(HttpResponse::statusCode).isEqualTo(status);
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
        assertThat(entry.process().configuration().current().revision())
                .isEqualTo(entry.control().revision());
    }

    @Then("the entry has stopped and cut off {int} requests")
    public void hasStopped(int count) {
        assertThat(stopped).succeedsWithin(EntryFixture.PATIENCE).isEqualTo(count);
    }

    private void add(String name, ScriptedUpstream upstream) {
        upstreams.put(name, upstream);
        HttpResponse<String> response = entry.announce(SERVICE, name, upstream, "SERVING");
        assertThat(response.statusCode()).isEqualTo(200);
        firstAnnouncements.put(name, entry.lastAnnouncement());
        if (second != null) {
            entry.advance(Duration.ofMillis(300));
        }
    }

    private static CompletableFuture<HttpResponse<String>> waited(CompletableFuture<HttpResponse<String>> response) {
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

    private ScriptedUpstream one() {
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
        SwitchablePeer peer = toFirst;
        if (peer == null) {
            throw new IllegalStateException("there is no second entry");
        }
        return peer;
    }

    private CompletableFuture<String> raw() {
        CompletableFuture<String> answer = rawAnswer;
        if (answer == null) {
            throw new IllegalStateException("there is no raw caller");
        }
        return answer;
    }

    private EntryFixture latestEntry() {
        EntryFixture latest = restarted;
        return latest == null ? entry : latest;
    }
}
