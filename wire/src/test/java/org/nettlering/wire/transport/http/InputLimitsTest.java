package org.nettlering.wire.transport.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.nettlering.domain.queue.RequestLimits;
import org.nettlering.runtime.settings.SettingsException;
import org.nettlering.runtime.settings.SettingsReader;

class InputLimitsTest {
    @TempDir
    Path folder;

    @Test
    void settingsReplaceTheDefaults() throws IOException {
        InputLimits limits = read(
                "[limits]\nconnections = 7\nrequest_memory_bytes = 8000\nmax_body_bytes = 9\nbody_timeout_millis = 1000\n");
        assertThat(limits).isEqualTo(new InputLimits(7, 8_000, 9, Duration.ofSeconds(1)));
    }

    @Test
    void defaultsAdmitEveryBodyThatTheDefaultConfigurationAllows() throws IOException {
        InputLimits limits = read("");
        assertThat(limits).isEqualTo(InputLimits.entryDefaults());
        assertThat(limits.maxBodyBytes()).isGreaterThanOrEqualTo(RequestLimits.DEFAULT.maxBodyBytes());
        assertThat(limits.memoryBytes()).isGreaterThan(limits.maxBodyBytes());
    }

    @Test
    void aLimitOfZeroIsAFault() {
        assertThatThrownBy(() -> read("[limits]\nconnections = 0\n"))
                .isInstanceOf(SettingsException.class)
                .hasMessageContaining("connections");
    }

    private InputLimits read(String text) throws IOException {
        SettingsReader reader = SettingsReader.open(Files.writeString(folder.resolve("settings.ini"), text));
        InputLimits limits = InputLimits.readForEntry(reader);
        reader.finish();
        return limits;
    }
}
