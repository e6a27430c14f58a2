package org.nettlering.runtime.program;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class UncaughtFailuresTest {
    private final List<String> ended = new ArrayList<>();
    private final UncaughtFailures failures = UncaughtFailures.of(() -> ended.add("ended"));

    @Test
    void anErrorThatNobodyHandlesEndsTheProcess() {
        failures.uncaughtException(Thread.currentThread(), new StackOverflowError());

        assertThat(ended).containsExactly("ended");
    }

    @Test
    void anExceptionThatNobodyHandlesDoesNot() {
        failures.uncaughtException(Thread.currentThread(), new IllegalStateException("a fault"));

        assertThat(ended).isEmpty();
    }
}
