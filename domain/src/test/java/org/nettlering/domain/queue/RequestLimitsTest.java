package org.nettlering.domain.queue;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RequestLimitsTest {
    @Test
    void zeroStandsForTheDefault() {
        assertThat(new RequestLimits(0, 0, 0, 0).withDefaults()).isEqualTo(RequestLimits.DEFAULT);
        assertThat(new RequestLimits(1, 2, -3, 4).withDefaults())
                .isEqualTo(new RequestLimits(1, 2, RequestLimits.DEFAULT.headerTimeoutMillis(), 4));
    }
}
