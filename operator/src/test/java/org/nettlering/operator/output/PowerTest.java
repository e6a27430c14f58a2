package org.nettlering.operator.output;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.nettlering.domain.error.NettleringException;

class PowerTest {
    @ParameterizedTest
    @CsvSource({"250mW, 250", "250W, 250000", "12.5kW, 12500000", "1.2MW, 1200000000", "0.001W, 1"})
    void anAmountIsReadInWholeMilliwatts(String text, long milliwatts) {
        assertThat(Power.parseMilliwatts(text)).isEqualTo(milliwatts);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "90", "kW", "-1W", "0W", "0.0001W", "many W", "99999999999999999MW"})
    void anythingElseIsRefused(String text) {
        assertThatThrownBy(() -> Power.parseMilliwatts(text))
                .isInstanceOf(NettleringException.class)
                .hasMessageContaining("\"" + text + "\"");
    }

    @ParameterizedTest
    @CsvSource({"0, 0 W", "250000, 250 W", "12500000, 12.5 kW", "90000000, 90 kW"})
    void anAmountIsWrittenWithItsUnit(long milliwatts, String text) {
        assertThat(Power.format(milliwatts)).isEqualTo(text);
    }
}
