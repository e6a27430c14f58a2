package org.nettlering.runtime.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.nettlering.domain.error.ErrorCode;

class SettingsReaderTest {
    @TempDir
    private Path folder = Path.of("");

    @Test
    void valuesAreReadFromTheirSections() throws IOException {
        SettingsReader reader = reader("""
                ; a comment
                [cluster]
                id = ljubljana
                [listen]
                peers = 127.0.0.1:7000
                [limits]
                bytes = 10
                wait_millis = 250
                """);

        assertThat(reader.text("cluster", "id")).isEqualTo("ljubljana");
        assertThat(reader.address("listen", "peers"))
                .isEqualTo(new InetSocketAddress(InetAddress.ofLiteral("127.0.0.1"), 7000));
        assertThat(reader.size("limits", "bytes", 1)).isEqualTo(10);
        assertThat(reader.millis("limits", "wait_millis", Duration.ZERO)).isEqualTo(Duration.ofMillis(250));
        assertThat(reader.size("limits", "absent", 7)).isEqualTo(7);
        reader.finish();
    }

    @Test
    void keysWithDotsAndDashesKeepTheirNames() throws IOException {
        SettingsReader reader = reader("""
                [members]
                control-1.a = 127.0.0.1:7000 fd-1
                control-2 = 127.0.0.1:7001 fd-2
                """);

        assertThat(reader.entries("members"))
                .containsOnlyKeys("control-1.a", "control-2")
                .containsEntry("control-1.a", "127.0.0.1:7000 fd-1");
    }

    @Test
    void everyFaultIsReportedAtOnceWithFileSectionAndKey() throws IOException {
        SettingsReader reader = reader("""
                stray = 1
                [cluster]
                name = x
                [listen]
                peers = somewhere
                [limits]
                bytes = -5
                [members]
                c1 = 127.0.0.1:1
                c1 = 127.0.0.1:2
                [extra]
                key = 1
                """);
        reader.text("cluster", "id");
        reader.address("listen", "peers");
        reader.address("listen", "metrics");
        reader.size("limits", "bytes", 1);
        reader.entries("members");

        assertThat(faultsOf(reader))
                .hasSize(8)
                .allMatch(fault -> fault.startsWith(folder.resolve("test.ini").toString()))
                .anyMatch(fault -> fault.endsWith(": stray: stands outside of any section"))
                .anyMatch(fault -> fault.endsWith("[cluster] name: the key is unknown"))
                .anyMatch(fault -> fault.endsWith("[cluster] id: is missing"))
                .anyMatch(fault -> fault.contains("[listen] peers: \"somewhere\" is no address"))
                .anyMatch(fault -> fault.endsWith("[listen] metrics: is missing"))
                .anyMatch(fault -> fault.contains("[limits] bytes: \"-5\" is no whole number"))
                .anyMatch(fault -> fault.endsWith("[members] c1: stands 2 times"))
                .anyMatch(fault -> fault.endsWith("[extra]: the section is unknown"));
    }

    @Test
    void aFileThatCannotBeReadIsAFault() {
        assertThatThrownBy(() -> SettingsReader.open(folder.resolve("absent.ini")))
                .isInstanceOfSatisfying(SettingsException.class, exception -> {
                    assertThat(exception.code()).isEqualTo(ErrorCode.INVALID_SETTINGS);
                    assertThat(exception.faults()).hasSize(1);
                });
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "7000", "localhost:7000", "1.2.3:7000", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000"})
    void onlyAnIpNumberWithAPortIsAnAddress(String text) {
        assertThat(Addresses.parseOrNull(text)).isNull();
    }

    @Test
    void anAddressIsWrittenAsItIsRead() {
        assertThat(Addresses.format(Addresses.parse("10.1.2.3:80"))).isEqualTo("10.1.2.3:80");
        assertThat(Addresses.format(Addresses.parse("[::1]:80")).endsWith("]:80"))
                .isTrue();
    }

    @Test
    void telemetryNamesAKnownExporterAndItsEndpoint() throws IOException {
        SettingsReader wrong = reader("[telemetry]\nexporter = paper\n");
        TelemetrySettings.read(wrong);
        assertThat(faultsOf(wrong)).hasSize(1);

        SettingsReader incomplete = reader("[telemetry]\nexporter = otlp\n");
        TelemetrySettings.read(incomplete);
        assertThat(faultsOf(incomplete)).hasSize(1);

        SettingsReader right = reader("[telemetry]\nexporter = log\n");
        assertThat(TelemetrySettings.read(right).exporter()).isEqualTo(TelemetrySettings.Exporter.LOG);
        right.finish();
    }

    private SettingsReader reader(String text) throws IOException {
        Path file = folder.resolve("test.ini");
        Files.writeString(file, text);
        return SettingsReader.open(file);
    }

    private static List<String> faultsOf(SettingsReader reader) {
        try {
            reader.finish();
        } catch (SettingsException exception) {
            return exception.faults();
        }
        return List.of();
    }
}
