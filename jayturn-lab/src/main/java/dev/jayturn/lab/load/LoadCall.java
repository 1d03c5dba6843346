package dev.jayturn.lab.load;

import dev.jayturn.lab.engine.ExpectedAnswers;
import java.nio.charset.StandardCharsets;
import java.util.UUID;

/** One call of a load run with the answer that it must yield. */
final class LoadCall {
    private static final int PREFIX_COUNT = 50;

    final String idempotencyKey = UUID.randomUUID().toString();
    final String bearerKey;
    final boolean servicePost;
    final boolean direct;
    final String uri;
    final byte[] body;
    final String expectedContent;
    final long dueNanos;
    int retryCount;

    private LoadCall(
            String bearer,
            boolean posting,
            boolean direct,
            String uri,
            byte[] body,
            String expected,
            long intendedNanos) {
        this.bearerKey = bearer;
        this.servicePost = posting;
        this.direct = direct;
        this.uri = uri;
        this.body = body;
        this.expectedContent = expected;
        this.dueNanos = intendedNanos;
    }

    static LoadCall createChat(
            LoadOptions options, String bearer, long number, int chars, boolean direct, long at) {
        StringBuilder prompt = new StringBuilder();
        prompt.append("Season ledger ").append(number % PREFIX_COUNT).append(": reconcile slips. ");
        while (prompt.length() < chars * 3 / 4) {
            prompt.append("slip ").append(number % PREFIX_COUNT).append(" moisture ok; ");
        }
        while (prompt.length() < chars) {
            prompt.append("entry ").append(number).append(' ');
        }
        prompt.append("call ").append(number);
        String body =
                "{\"model\":\""
                        + options.model()
                        + "\",\"stream\":true,\"max_tokens\":"
                        + options.maxTokens()
                        + ",\"messages\":[{\"role\":\"user\",\"content\":\""
                        + prompt
                        + "\"}]}";
        String expected = ExpectedAnswers.fullText(prompt + "\n", options.maxTokens());
        return new LoadCall(
                bearer,
                false,
                direct,
                "/v1/chat/completions",
                body.getBytes(StandardCharsets.UTF_8),
                expected,
                at);
    }

    static LoadCall createServicePost(LoadOptions options, String bearer, long number, long at) {
        String body = "{\"credit\":\"" + number + "\",\"grams\":" + number % 5_000 + "}";
        return new LoadCall(
                bearer,
                true,
                false,
                "/services/" + options.service() + "/credits",
                body.getBytes(StandardCharsets.UTF_8),
                "",
                at);
    }

    /** Returns whether an answer's body is the one that this call must yield. */
    boolean isCorrect(String answer) {
        if (servicePost) {
            return answer.contains("\"key\":\"" + idempotencyKey + "\"");
        }
        return expectedContent.equals(contentOf(answer)) && answer.endsWith("data: [DONE]\n\n");
    }

    private static String contentOf(String answer) {
        StringBuilder text = new StringBuilder();
        String mark = "\"content\":\"";
        int at = answer.indexOf(mark);
        while (at >= 0) {
            int start = at + mark.length();
            int end = answer.indexOf('"', start);
            if (end < 0) {
                break;
            }
            text.append(answer, start, end);
            at = answer.indexOf(mark, end);
        }
        return text.toString();
    }
}
