package org.nettlering.runtime.log;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.core.UnsynchronizedAppenderBase;
import ch.qos.logback.core.encoder.Encoder;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.slf4j.event.KeyValuePair;

/**
 * Writes lines to standard output from a thread of its own, many in one call.
 *
 * <p>Guarantees that whoever logs never waits for the output: lines wait in a queue of bounded size, and those that find it full
 * are dropped, counted, and told of in a line of their own once the output moves again. The message is put together by the
 * thread that logs, as its arguments may change later; the rest of the line by the thread that writes. Used by Logback, which
 * sets the encoder. Thread-safe.
 */
public final class QueuedAppender extends UnsynchronizedAppenderBase<ILoggingEvent> {
    /** The most lines that wait. */
    private static final int MOST_LINES = 8_192;

    /** The most text that waits, in characters. */
    private static final long MOST_CHARACTERS = 4_000_000;

    /** The most lines that are written in one call. */
    private static final int MOST_IN_BLOCK = 256;

    /** The most of several lines that are written at once, in bytes: a pipe takes a write of this size whole or not at all. */
    private static final int MOST_BYTES_IN_BLOCK = 4_096;

    /** How long lines wait for others to be written with. */
    private static final Duration GATHER = Duration.ofMillis(10);

    /** How often the thread looks for lines that were left out when it has nothing to write. */
    private static final Duration IDLE = Duration.ofSeconds(1);

    /** How long a stop waits for the lines that are left. */
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(1);

    /** The lines that wait. */
    private final LineQueue queue;

    /** Where the lines go. */
    private final OutputStream output;

    /** How many lines stand in the block that is written next; used by the writing thread alone. */
    private int linesInBlock;

    /** What was left out before it came here. */
    private final LineBudget budget;

    /** Makes bytes of a line; set by Logback before the start. */
    private @Nullable Encoder<ILoggingEvent> encoder;

    /** Creates an appender for standard output, for Logback. */
    public QueuedAppender() {
        this(new StandardOutput(System.out), LineQueue.of(MOST_LINES, MOST_CHARACTERS), EventLogger.budget());
        LogOutput.use(queue);
    }

    QueuedAppender(OutputStream output, LineQueue queue, LineBudget budget) {
        this.output = output;
        this.queue = queue;
        this.budget = budget;
    }

    /**
     * Sets what makes bytes of a line.
     *
     * @param encoder the encoder, not null
     */
    public void setEncoder(Encoder<ILoggingEvent> encoder) {
        this.encoder = encoder;
    }

    @Override
    public void start() {
        if (encoder == null) {
            addError("the appender " + getName() + " has no encoder");
            return;
        }
        super.start();
        Thread writer = Thread.ofPlatform().daemon(true).name("log-writer").unstarted(this::write);
        writer.start();
    }

    /** Writes what is left, for a bounded time, and stops. */
    @Override
    public void stop() {
        if (!isStarted()) {
            return;
        }
        super.stop();
        queue.close();
        queue.flush(STOP_TIMEOUT);
    }

    @Override
    protected void append(ILoggingEvent line) {
        line.prepareForDeferredProcessing();
        if (!queue.offer(line, line.getLevel().isGreaterOrEqual(Level.WARN))) {
            LogOutput.dropped();
        }
    }

    private void write() {
        ByteArrayOutputStream block = new ByteArrayOutputStream();
        try {
            while (!queue.isOver()) {
                List<ILoggingEvent> lines = queue.take(MOST_IN_BLOCK, IDLE, GATHER);
                writeBlock(block, lines, budget.takeLeftOut());
                queue.finish(lines.size());
            }
            writeBlock(block, List.of(), budget.takeAllLeftOut());
        } catch (InterruptedException exception) {
            addWarn("the thread that writes the log was interrupted", exception);
        }
    }

    private void writeBlock(ByteArrayOutputStream block, List<ILoggingEvent> lines, List<LineBudget.LeftOut> leftOut) {
        block.reset();
        lines.forEach(line -> encode(block, line));
        long dropped = queue.takeDropped();
        if (dropped > 0) {
            encode(block, report(RuntimeEvent.LINES_DROPPED, dropped));
        }
        leftOut.forEach(lost ->
                encode(block, report(RuntimeEvent.LINES_LEFT_OUT, lost.lines(), EventLogger.code(lost.event()))));
        writeOut(block);
    }

    private void writeOut(ByteArrayOutputStream block) {
        if (block.size() == 0) {
            return;
        }
        try {
            block.writeTo(output);
            output.flush();
        } catch (IOException exception) {
            // Whoever read the output is gone: there is nowhere to tell it but the metrics.
            for (int line = 0; line < linesInBlock; line++) {
                LogOutput.dropped();
            }
        }
        block.reset();
        linesInBlock = 0;
    }

    private void encode(ByteArrayOutputStream block, ILoggingEvent line) {
        byte[] text = Objects.requireNonNull(encoder).encode(line);
        if (block.size() + text.length > MOST_BYTES_IN_BLOCK) {
            writeOut(block);
        }
        block.writeBytes(text);
        linesInBlock++;
    }

    private LoggingEvent report(RuntimeEvent event, Object... arguments) {
        Logger logger = ((LoggerContext) getContext()).getLogger(QueuedAppender.class);
        LoggingEvent line = new LoggingEvent(
                QueuedAppender.class.getName(),
                logger,
                Level.convertAnSLF4JLevel(event.level()),
                event.pattern(),
                null,
                arguments);
        line.addKeyValuePair(new KeyValuePair("event", EventLogger.code(event)));
        return line;
    }
}
