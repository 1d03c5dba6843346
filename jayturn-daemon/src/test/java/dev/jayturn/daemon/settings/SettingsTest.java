package dev.jayturn.daemon.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dev.jayturn.core.result.ResultCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class SettingsTest {
    @Test
    void absentSettingsHaveDefaults() throws SettingsException {
        String text =
                "[instance]\nname = kokura-1\ndata-centre = kokura\n[control]\n"
                        + "members = kokura-1@127.0.0.1:9001, yahata-1@127.0.0.1:9002\n";
        Settings settings = Settings.parse("f.ini", text);
        assertThat(settings.text(SettingKey.INSTANCE_NAME)).isEqualTo("kokura-1");
        assertThat(settings.controlAddresses().keySet()).containsExactly("kokura-1", "yahata-1");
        assertThat(settings.number(SettingKey.MAX_BODY)).isEqualTo(1_048_576);
    }

    @ParameterizedTest
    @CsvSource({
        "'[entry]\nport = 1', SETTING_UNKNOWN, 'line 2'",
        "'[entry]\n\nthreads = 0', SETTING_BAD_VALUE, 'line 3'",
        "'[entry]\nthreads = two', SETTING_BAD_VALUE, 'line 2'",
        "'[entry]\nlisten = localhost:80', SETTING_BAD_VALUE, 'line 2'",
        "'[control]\nmembers = kokura', SETTING_BAD_VALUE, 'line 2'",
        "'[operator]\nlisten = 0.0.0.0:8081', SETTING_UNSAFE, 'line 2'",
    })
    void invalidSettingIsRejectedWithFileLineAndCode(String text, ResultCode code, String line) {
        assertThatThrownBy(() -> Settings.parse("f.ini", text))
                .isInstanceOf(SettingsException.class)
                .hasMessageContaining("f.ini " + line)
                .hasMessageContaining(String.valueOf(code.number()));
    }
}
