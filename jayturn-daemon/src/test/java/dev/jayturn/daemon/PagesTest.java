package dev.jayturn.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.result.ResultCode;
import dev.jayturn.core.rules.RuleKeySpec;
import dev.jayturn.core.rules.RuleKind;
import dev.jayturn.daemon.settings.SettingKey;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** Keeps the pages that list what the code defines in step with it. */
final class PagesTest {
    private static final Path REPOSITORY = Path.of("..");
    private static final Path FEATURES =
            REPOSITORY.resolve("jayturn-core/src/test/resources/features");

    private static void checkPage(String page, String expected) throws IOException {
        Path file = REPOSITORY.resolve("docs").resolve(page);
        if (Boolean.getBoolean("pages.write")) {
            Files.writeString(file, expected);
        }
        assertThat(Files.readString(file)).isEqualTo(expected);
    }

    @Test
    void codesPageListsEveryResultCode() throws IOException {
        StringBuilder text = new StringBuilder("# Result codes\n\n");
        text.append("The number stands in the header X-Jayturn-Code and in problem bodies.\n\n");
        text.append("| code | name | HTTP | meaning |\n|---|---|---|---|\n");
        for (ResultCode code : ResultCode.values()) {
            text.append("| ").append(code.number()).append(" | ").append(code.name());
            text.append(" | ").append(code.httpStatus()).append(" | ");
            text.append(code.text()).append(" |\n");
        }
        checkPage("CODES.md", text.toString());
    }

    @Test
    void settingsPageListsEverySetting() throws IOException {
        StringBuilder text =
                new StringBuilder("# Settings\n\nAn INI file. An unknown key or a bad ");
        text.append("value refuses the start with file, line and code.\n\n");
        text.append(
                "| section | key | default | range | unit or meaning |\n|---|---|---|---|---|\n");
        for (SettingKey key : SettingKey.values()) {
            text.append("| ").append(key.section()).append(" | ").append(key.key());
            text.append(" | ").append(key.defaultValue()).append(" | ").append(key.range());
            text.append(" | ").append(key.help()).append(" |\n");
        }
        checkPage("SETTINGS.md", text.toString());
    }

    @Test
    void rulesPageListsEveryRuleKind() throws IOException {
        StringBuilder text = new StringBuilder("# Rules\n\nOne rule a line: a kind, a name, ");
        text.append("key=value words, then # and who asked for it. A line without that comment ");
        text.append("is refused with its number. Blank lines and lines that start with # are ");
        text.append("skipped; the order of lines does not matter.\n");
        for (RuleKind kind : RuleKind.values()) {
            text.append("\n## ").append(kind.keyword()).append("\n\n").append(kind.summary());
            text.append(".\n\n    ").append(kind.example()).append("\n\n");
            text.append("| key | default | meaning |\n|---|---|---|\n");
            for (RuleKeySpec key : kind.keys()) {
                String value = key.defaultValue() == null ? "required" : key.defaultValue();
                text.append("| ").append(key.name()).append(" | ").append(value);
                text.append(" | ").append(key.help()).append(" |\n");
            }
        }
        checkPage("RULES.md", text.toString());
    }

    @Test
    void scenariosNamedOnTheProofPageExist() throws IOException {
        String scenarios =
                Files.readString(FEATURES.resolve("what_fails.feature"))
                        + Files.readString(FEATURES.resolve("what_holds.feature"));
        String page = Files.readString(REPOSITORY.resolve("docs/PROOF.md"));
        Matcher named = Pattern.compile("“([^”]+)”").matcher(page);
        int found = 0;
        while (named.find()) {
            found++;
            assertThat(scenarios).contains("Scenario Outline: " + named.group(1) + "\n");
        }
        assertThat(found).isGreaterThan(20);
    }
}
