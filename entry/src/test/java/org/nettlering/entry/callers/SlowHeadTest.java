package org.nettlering.entry.callers;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.nettlering.entry.settings.EntryLimits;
import org.nettlering.entry.testing.EntryFixture;
import org.nettlering.entry.testing.RawCaller;

class SlowHeadTest {
    private final EntryFixture entry = EntryFixture.start();

    @AfterEach
    void stop() {
        entry.close();
    }

    @Test
    void slowRequestHeadClosesConnection() {
        RawCaller caller = new RawCaller(entry.process().callersPort());
        CompletableFuture<String> response =
                caller.write("GET / HTTP/1.1\r\nHost: a\r\nX-").readToEnd();

        for (int round = 0; round < 20 && !response.isDone(); round++) {
            entry.advance(EntryLimits.DEFAULTS.headTimeout().plus(Duration.ofMillis(10)));
            var _ = response.copy()
                    .completeOnTimeout("", 250, TimeUnit.MILLISECONDS)
                    .join();
        }

        assertThat(response).isDone();
        assertThat(entry.metrics()).contains("nettlering_entry_invalid_input_total{kind=\"slow_head\"}");
    }
}
