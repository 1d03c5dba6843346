package dev.jayturn.core.rules;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.result.ResultCode;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class RuleFileTest {
    private static final String VALID_RULES =
            "# heading\n\ncustomer roy rate=5 # Mme Roy\nbudget b customer=roy # Mme Roy\n";

    @ParameterizedTest
    @CsvSource({
        "customer x, RULE_NO_COMMENT",
        "customer x #, RULE_NO_COMMENT",
        "shop x # me, RULE_UNKNOWN_KIND",
        "customer # me, RULE_MISSING_KEY",
        "budget x # me, RULE_MISSING_KEY",
        "customer x colour=red # me, RULE_UNKNOWN_KEY",
        "customer x rate=-1 # me, RULE_BAD_VALUE",
        "customer x rate=1e9 # me, RULE_BAD_VALUE",
        "route m service=s policy=best # me, RULE_BAD_VALUE",
        "customer x rate=1 rate=2 # me, RULE_DUPLICATE",
        "customer roy # me, RULE_DUPLICATE",
        "budget c customer=nobody # me, RULE_UNKNOWN_REFERENCE",
        "key abc customer=roy budget=b # me, RULE_BAD_VALUE",
    })
    void invalidLineIsRejectedWithLineNumberAndCode(String line, ResultCode code) {
        List<RuleError> errors = RuleFile.parse(VALID_RULES + line).getLeft();
        assertThat(errors).hasSize(1);
        assertThat(errors.get(0).line()).isEqualTo(5);
        assertThat(errors.get(0).code()).isEqualTo(code);
    }

    @Test
    void allErrorsInFileAreReported() {
        assertThat(RuleFile.parse("shop x # a\ncustomer y\n").getLeft()).hasSize(2);
    }

    @Test
    void exampleOfEveryKindIsValid() {
        for (RuleKind kind : RuleKind.values()) {
            String line = kind.example().replace("9f86...0a08", "a".repeat(64));
            assertThat(Rule.parse(1, line).isRight()).as(line).isTrue();
        }
    }

    @Test
    void deltaTurnsOneVersionIntoTheOther() {
        Map<String, String> before = RuleDelta.linesById(RuleFile.parse(VALID_RULES).get());
        Map<String, String> after =
                RuleDelta.linesById(
                        RuleFile.parse("customer roy rate=6 # R\ncustomer new # N\n").get());
        RuleDelta delta = RuleDelta.between(before, after);
        assertThat(delta.puts()).hasSize(2);
        assertThat(delta.removals()).containsExactly("budget b");
        delta.applyTo(before);
        assertThat(before).isEqualTo(after);
    }
}
