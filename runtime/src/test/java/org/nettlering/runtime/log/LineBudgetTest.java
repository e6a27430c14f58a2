package org.nettlering.runtime.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.time.ManualTime;
import org.slf4j.event.Level;

class LineBudgetTest {
    private final ManualTime time = ManualTime.startingAt(Instant.parse("2026-01-01T00:00:00Z"));
    private final LineBudget budget = LineBudget.of(time);

    private record Sample(int number, Level level, int linesPerSecond) implements LogEvent {
        @Override
        public String pattern() {
            return "sample";
        }
    }

    @Test
    void anEventTakesNoMoreLinesInASecondThanItsBudget() {
        Sample event = new Sample(9001, Level.INFO, 3);
        assertThat(permitted(event, 10)).isEqualTo(3);
        time.advance(Duration.ofSeconds(1));
        assertThat(permitted(event, 10)).isEqualTo(3);
    }

    @Test
    void oneEventDoesNotUseUpTheBudgetOfAnother() {
        permitted(new Sample(9001, Level.INFO, 3), 10);
        assertThat(permitted(new Sample(9002, Level.INFO, 3), 1)).isEqualTo(1);
    }

    @Test
    void anErrorIsNeverCut() {
        assertThat(permitted(new Sample(9001, Level.ERROR, 1), 100)).isEqualTo(100);
    }

    @Test
    void anEventWithoutABudgetIsNeverCut() {
        assertThat(permitted(new Sample(9001, Level.INFO, LineBudget.UNLIMITED), 1_000))
                .isEqualTo(1_000);
    }

    @Test
    void whatIsLeftOutIsCountedAndToldOnceASecond() {
        Sample event = new Sample(9001, Level.WARN, 3);
        permitted(event, 10);
        assertThat(budget.takeLeftOut()).isEmpty();
        time.advance(Duration.ofSeconds(1));
        assertThat(budget.takeLeftOut()).containsExactly(new LineBudget.LeftOut(event, 7));
        permitted(event, 4);
        assertThat(budget.takeLeftOut()).isEmpty();
        assertThat(budget.takeAllLeftOut()).containsExactly(new LineBudget.LeftOut(event, 1));
        assertThat(budget.leftOut()).isEqualTo(8);
    }

    private int permitted(LogEvent event, int attempts) {
        return (int) IntStream.range(0, attempts)
                .filter(attempt -> budget.permits(event))
                .count();
    }
}
