package org.nettlering.control.workflow;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;
import org.nettlering.runtime.log.EventLogger;
import org.nettlering.runtime.log.LogEvent;
import org.slf4j.LoggerFactory;

/** Records the log lines of a package until it is closed. */
final class EventRecorder implements AutoCloseable {
    private final Logger logger;

    private final Appender appender = new Appender();

    private final List<ILoggingEvent> lines = new CopyOnWriteArrayList<>();

    static EventRecorder start() {
        EventLogger.resetBudgets();
        EventRecorder recorder = new EventRecorder();
        recorder.appender.start();
        recorder.logger.addAppender(recorder.appender);
        return recorder;
    }

    private EventRecorder() {
        logger = (Logger) LoggerFactory.getLogger(WorkflowLoop.class.getPackageName());
    }

    private final class Appender extends AppenderBase<ILoggingEvent> {
        @Override
        protected void append(ILoggingEvent line) {
            lines.add(line);
        }
    }

    /** Returns the messages of an event in the order in which they were logged. */
    List<String> messages(LogEvent event) {
        return linesOf(event).map(ILoggingEvent::getFormattedMessage).toList();
    }

    /** Returns the values by name of all lines of an event, the last one of each name. */
    Map<String, Object> fields(LogEvent event) {
        Map<String, Object> fields = new HashMap<>();
        linesOf(event).forEach(line -> line.getKeyValuePairs().forEach(pair -> fields.put(pair.key, pair.value)));
        return fields;
    }

    private Stream<ILoggingEvent> linesOf(LogEvent event) {
        String code = EventLogger.code(event);
        return lines.stream()
                .filter(line -> line.getKeyValuePairs() != null
                        && line.getKeyValuePairs().stream().anyMatch(pair -> code.equals(pair.value)));
    }

    @Override
    public void close() {
        logger.detachAppender(appender);
    }
}
