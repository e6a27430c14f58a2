package org.nettlering.runtime.log;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

class EventLoggerTest {
    @Test
    void aLineCarriesTheNumberOfItsEventAndItsFieldsAsKeys() {
        Logger logger = (Logger) LoggerFactory.getLogger(EventLoggerTest.class);
        ListAppender<ILoggingEvent> appender = new ListAppender<>();
        appender.start();
        logger.addAppender(appender);
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("waitMaxMicros", 12L);
        fields.put("waitCount", 3);
        EventLogger.of(EventLoggerTest.class).logWithFields(RuntimeEvent.STOPPING, fields, "nettlering-entry");
        logger.detachAppender(appender);

        JsonEncoder encoder = new JsonEncoder();
        encoder.setContext((LoggerContext) LoggerFactory.getILoggerFactory());
        encoder.setWithFormattedMessage(true);
        encoder.start();
        String line = new String(encoder.encode(appender.list.getFirst()), StandardCharsets.UTF_8);
        assertThat(line)
                .contains("[{\"event\":\"NTL-1002\"},{\"waitMaxMicros\":\"12\"},{\"waitCount\":\"3\"}]")
                .contains("nettlering-entry is stopping");
    }
}
