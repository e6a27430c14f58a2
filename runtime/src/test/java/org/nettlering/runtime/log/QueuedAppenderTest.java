package org.nettlering.runtime.log;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.time.ManualTime;

class QueuedAppenderTest {
    private static final Duration LONG = Duration.ofSeconds(30);

    private final LoggerContext context = new LoggerContext();
    private final ManualTime time = ManualTime.startingAt(Instant.parse("2026-01-01T00:00:00Z"));
    private final LineBudget budget = LineBudget.of(time);
    private final StandingOutput output = new StandingOutput();

    @Test
    void linesComeOutInTheirOrder() {
        output.move();
        LineQueue queue = LineQueue.of(1_000, 100_000);
        QueuedAppender appender = appender(queue);
        for (int number = 0; number < 500; number++) {
            appender.doAppend(line(Level.INFO, "line " + number + "."));
        }
        assertThat(queue.flush(LONG)).isTrue();
        List<String> lines = output.lines();
        assertThat(lines).hasSize(500);
        assertThat(lines.getFirst()).startsWith("{").contains("line 0.");
        assertThat(lines.getLast()).contains("line 499.");
        appender.stop();
    }

    @Test
    void whoLogsDoesNotWaitForAnOutputThatStandsStill() throws InterruptedException {
        LineQueue queue = LineQueue.of(16, 100_000);
        QueuedAppender appender = appender(queue);
        long droppedBefore = LogOutput.droppedLines();
        appender.doAppend(line(Level.INFO, "first"));
        output.awaitCall();
        for (int number = 0; number < 100; number++) {
            appender.doAppend(line(Level.INFO, "line " + number + "."));
        }
        assertThat(queue.size()).isEqualTo(14);
        assertThat(LogOutput.droppedLines() - droppedBefore).isGreaterThanOrEqualTo(86);
        assertThat(queue.flush(Duration.ZERO)).isFalse();
        output.move();
        assertThat(queue.flush(LONG)).isTrue();
        appender.doAppend(line(Level.INFO, "last"));
        assertThat(queue.flush(LONG)).isTrue();
        assertThat(String.join("\n", output.lines()))
                .contains("first", "line 13.", "last")
                .doesNotContain("line 14.")
                .contains("NTL-1010", "86 lines were dropped");
        appender.stop();
    }

    @Test
    void warningsAndErrorsHaveRoomThatOrdinaryLinesLeave() throws InterruptedException {
        LineQueue queue = LineQueue.of(16, 100_000);
        QueuedAppender appender = appender(queue);
        appender.doAppend(line(Level.INFO, "first"));
        output.awaitCall();
        for (int number = 0; number < 100; number++) {
            appender.doAppend(line(Level.INFO, "line"));
        }
        appender.doAppend(line(Level.ERROR, "an error"));
        output.move();
        assertThat(queue.flush(LONG)).isTrue();
        assertThat(String.join("\n", output.lines())).contains("an error");
        appender.stop();
    }

    /** Guards against torn lines, which a play with blocks of some 70 KB showed. */
    @Test
    void everyWriteHoldsWholeLinesAndNoMoreThanAPipeTakesAtOnce() {
        List<byte[]> writes = new ArrayList<>();
        OutputStream recording = new OutputStream() {
            @Override
            public void write(int one) {
                throw new AssertionError("one byte alone");
            }

            @Override
            public void write(byte[] bytes, int offset, int length) {
                writes.add(Arrays.copyOfRange(bytes, offset, offset + length));
            }
        };
        LineQueue queue = LineQueue.of(1_000, 1_000_000);
        QueuedAppender appender = appender(queue, recording);
        for (int number = 0; number < 200; number++) {
            appender.doAppend(line(Level.INFO, "x".repeat(250)));
        }
        assertThat(queue.flush(LONG)).isTrue();
        appender.stop();
        assertThat(writes).isNotEmpty().allSatisfy(write -> {
            assertThat(write).hasSizeLessThanOrEqualTo(4_096);
            assertThat(write[write.length - 1]).isEqualTo((byte) '\n');
        });
    }

    @Test
    void aStopWritesWhatWaits() {
        output.move();
        QueuedAppender appender = appender(LineQueue.of(1_000, 100_000));
        appender.doAppend(line(Level.INFO, "before the stop"));
        appender.stop();
        assertThat(String.join("\n", output.lines())).contains("before the stop");
    }

    @Test
    void linesThatTheOutputRefusesAreCountedAsDropped() {
        LineQueue queue = LineQueue.of(1_000, 100_000);
        PrintStream refusing = new PrintStream(
                new OutputStream() {
                    @Override
                    public void write(int one) throws IOException {
                        throw new IOException("nobody reads");
                    }
                },
                false,
                StandardCharsets.UTF_8);
        QueuedAppender appender = appender(queue, new StandardOutput(refusing));
        long droppedBefore = LogOutput.droppedLines();
        appender.doAppend(line(Level.INFO, "lost"));
        assertThat(queue.flush(LONG)).isTrue();
        assertThat(LogOutput.droppedLines() - droppedBefore).isEqualTo(1);
        appender.stop();
    }

    @Test
    void textIsBoundedAsWellAsLines() {
        LineQueue queue = LineQueue.of(1_000, 800);
        assertThat(queue.offer(line(Level.INFO, "x".repeat(600)), false)).isTrue();
        assertThat(queue.offer(line(Level.INFO, "x".repeat(200)), false)).isFalse();
        assertThat(queue.offer(line(Level.ERROR, "x".repeat(200)), true)).isTrue();
        assertThat(queue.takeDropped()).isEqualTo(1);
    }

    @Test
    void whatTheBudgetLeftOutIsTold() {
        output.move();
        LineQueue queue = LineQueue.of(1_000, 100_000);
        QueuedAppender appender = appender(queue);
        for (int number = 0; number < LineBudget.ORDINARY + 5; number++) {
            budget.permits(RuntimeEvent.STOPPING);
        }
        time.advance(Duration.ofSeconds(1));
        appender.doAppend(line(Level.INFO, "next"));
        assertThat(queue.flush(LONG)).isTrue();
        assertThat(String.join("\n", output.lines())).contains("NTL-1011", "5 lines of NTL-1002 were left out");
        appender.stop();
    }

    @BeforeEach
    void giveTheContextWhatAProgramGivesIt() {
        context.setMDCAdapter(new LogbackMDCAdapter());
    }

    private QueuedAppender appender(LineQueue queue) {
        return appender(queue, output);
    }

    private QueuedAppender appender(LineQueue queue, OutputStream target) {
        JsonEncoder encoder = new JsonEncoder();
        encoder.setContext(context);
        encoder.setWithFormattedMessage(true);
        encoder.start();
        QueuedAppender appender = new QueuedAppender(target, queue, budget);
        appender.setContext(context);
        appender.setEncoder(encoder);
        appender.start();
        return appender;
    }

    private LoggingEvent line(Level level, String message) {
        return new LoggingEvent(
                QueuedAppenderTest.class.getName(),
                context.getLogger(QueuedAppenderTest.class),
                level,
                message,
                null,
                null);
    }

    /** An output that stands still until it is told to move. */
    private static final class StandingOutput extends OutputStream {
        private final CountDownLatch called = new CountDownLatch(1);
        private final CountDownLatch moving = new CountDownLatch(1);
        private final ByteArrayOutputStream written = new ByteArrayOutputStream();

        @Override
        public void write(int one) throws IOException {
            write(new byte[] {(byte) one}, 0, 1);
        }

        @Override
        public void write(byte[] bytes, int offset, int length) throws IOException {
            called.countDown();
            try {
                assertThat(moving.await(LONG.toSeconds(), TimeUnit.SECONDS)).isTrue();
            } catch (InterruptedException exception) {
                throw new IOException(exception);
            }
            written.write(bytes, offset, length);
        }

        void awaitCall() throws InterruptedException {
            assertThat(called.await(LONG.toSeconds(), TimeUnit.SECONDS)).isTrue();
        }

        void move() {
            moving.countDown();
        }

        List<String> lines() {
            return written.toString(StandardCharsets.UTF_8).lines().toList();
        }
    }
}
