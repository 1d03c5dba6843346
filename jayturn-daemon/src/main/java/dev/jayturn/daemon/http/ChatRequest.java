package dev.jayturn.daemon.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.hash.Hashing;
import dev.jayturn.core.result.ResultCode;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** A chat completion request in the format of the OpenAI API. */
final class ChatRequest {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int HASHED_PREFIX_CHARS = 256;
    private static final int CHARS_PER_TOKEN = 4;
    private static final int TOKENS_PER_MESSAGE = 4;
    private static final long MAX_TOKENS_LIMIT = 1_000_000;

    private final ObjectNode body;
    private final String model;
    private final boolean stream;
    private final long requestedMaxTokens;
    private final long estimatedPromptTokens;
    private final long prefixHash;

    private ChatRequest(ObjectNode body, long maxTokens) {
        this.body = body;
        this.model = body.path("model").asText();
        this.stream = body.path("stream").asBoolean(false);
        this.requestedMaxTokens = maxTokens;
        long chars = 0;
        int messages = 0;
        StringBuilder prefix = new StringBuilder();
        for (JsonNode message : body.path("messages")) {
            String content = message.path("content").asText();
            chars += content.length() + 1;
            messages++;
            int remainingChars = Math.max(0, HASHED_PREFIX_CHARS - prefix.length());
            prefix.append(content, 0, Math.min(remainingChars, content.length()));
        }
        this.estimatedPromptTokens =
                chars / CHARS_PER_TOKEN + 1 + (long) messages * TOKENS_PER_MESSAGE;
        this.prefixHash = Hashing.murmur3_128().hashString(prefix, StandardCharsets.UTF_8).asLong();
    }

    /** Parses a request body; returns {@code MALFORMED_REQUEST} if it is not a valid request. */
    static Either<ResultCode, ChatRequest> parse(byte[] bytes) {
        try {
            JsonNode node = MAPPER.readTree(bytes);
            JsonNode maxTokens = node.path("max_tokens");
            boolean validMaxTokens =
                    maxTokens.isMissingNode()
                            || (maxTokens.isIntegralNumber()
                                    && maxTokens.asLong() >= 1
                                    && maxTokens.asLong() <= MAX_TOKENS_LIMIT);
            boolean valid =
                    node.isObject()
                            && node.path("model").isTextual()
                            && node.path("messages").isArray()
                            && !node.path("messages").isEmpty()
                            && node.path("n").asInt(1) == 1
                            && validMaxTokens;
            return valid
                    ? Either.right(new ChatRequest((ObjectNode) node, maxTokens.asLong(0)))
                    : Either.left(ResultCode.MALFORMED_REQUEST);
        } catch (IOException e) {
            return Either.left(ResultCode.MALFORMED_REQUEST);
        }
    }

    String model() {
        return model;
    }

    boolean isStream() {
        return stream;
    }

    /** Returns a hash of the first characters of the messages, for routing by prompt prefix. */
    long prefixHash() {
        return prefixHash;
    }

    /** Returns the limit on output tokens: the caller's, or the route's if the caller set none. */
    long maxOutputTokens(long routeMaxTokens) {
        return requestedMaxTokens > 0 ? requestedMaxTokens : routeMaxTokens;
    }

    /**
     * Returns the tokens to reserve: the estimated prompt tokens plus the limit on output tokens.
     */
    long maxTotalTokens(long maxOutputTokens) {
        return estimatedPromptTokens + maxOutputTokens;
    }

    /** Returns the request body for the upstream, with the output limit that was reserved for. */
    byte[] upstreamBody(long maxOutputTokens) {
        body.put("max_tokens", maxOutputTokens);
        if (stream) {
            body.putObject("stream_options").put("include_usage", true);
        }
        try {
            return MAPPER.writeValueAsBytes(body);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("failed to serialize a parsed request body", e);
        }
    }
}
