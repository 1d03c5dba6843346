package dev.jayturn.lab.load;

import dev.jayturn.lab.engine.ExpectedAnswers;
import java.nio.charset.StandardCharsets;
import java.util.UUID;

/** One call of a load run, with the answer that is expected. */
final class LoadCall {
    private static final int PREFIX_COUNT = 50;

    final String idempotencyKey = UUID.randomUUID().toString();
    final String bearerKey;
    final boolean servicePost;

    /** Whether the call is sent directly to an engine, without jayturn. */
    final boolean direct;

    final String uri;
    final byte[] body;
    final String expectedContent;

    /** Time at which the call should be sent, on the clock of {@link System#nanoTime}. */
    final long dueNanos;

    int retryCount;

    private LoadCall(
            String bearerKey,
            boolean servicePost,
            boolean direct,
            String uri,
            byte[] body,
            String expectedContent,
            long dueNanos) {
        this.bearerKey = bearerKey;
        this.servicePost = servicePost;
        this.direct = direct;
        this.uri = uri;
        this.body = body;
        this.expectedContent = expectedContent;
        this.dueNanos = dueNanos;
    }

    /**
     * Creates a chat completion call. Calls whose numbers are equal modulo {@link #PREFIX_COUNT}
     * share about the first three quarters of their prompts.
     */
    static LoadCall createChat(
            LoadOptions options,
            String bearerKey,
            long number,
            int promptChars,
            boolean direct,
            long dueNanos) {
        StringBuilder prompt = new StringBuilder();
        prompt.append("Season ledger ").append(number % PREFIX_COUNT).append(": reconcile slips. ");
        while (prompt.length() < promptChars * 3 / 4) {
            prompt.append("slip ").append(number % PREFIX_COUNT).append(" moisture ok; ");
        }
        while (prompt.length() < promptChars) {
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
        String expectedContent = ExpectedAnswers.fullText(prompt + "\n", options.maxTokens());
        return new LoadCall(
                bearerKey,
                false,
                direct,
                "/v1/chat/completions",
                body.getBytes(StandardCharsets.UTF_8),
                expectedContent,
                dueNanos);
    }

    /** Creates a POST request to the service. */
    static LoadCall createServicePost(
            LoadOptions options, String bearerKey, long number, long dueNanos) {
        String body = "{\"credit\":\"" + number + "\",\"grams\":" + number % 5_000 + "}";
        return new LoadCall(
                bearerKey,
                true,
                false,
                "/services/" + options.service() + "/credits",
                body.getBytes(StandardCharsets.UTF_8),
                "",
                dueNanos);
    }

    /** Returns whether a response body is the expected one. */
    boolean isCorrect(String responseBody) {
        if (servicePost) {
            return responseBody.contains("\"key\":\"" + idempotencyKey + "\"");
        }
        return expectedContent.equals(contentOf(responseBody))
                && responseBody.endsWith("data: [DONE]\n\n");
    }

    /** Returns the concatenated content of all events of a streamed response. */
    private static String contentOf(String responseBody) {
        StringBuilder text = new StringBuilder();
        String fieldStart = "\"content\":\"";
        int position = responseBody.indexOf(fieldStart);
        while (position >= 0) {
            int start = position + fieldStart.length();
            int end = responseBody.indexOf('"', start);
            if (end < 0) {
                break;
            }
            text.append(responseBody, start, end);
            position = responseBody.indexOf(fieldStart, end);
        }
        return text.toString();
    }
}
