package dev.jayturn.daemon.operator;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.jayturn.core.result.ResultCode;

/** A reply to an administrative request. */
public record AdminResponse(int status, String contentType, String body) {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String JSON = "application/json";
    private static final int OK = 200;

    static AdminResponse json(ObjectNode node) {
        return new AdminResponse(OK, JSON, node.toString());
    }

    static AdminResponse text(int status, String text) {
        return new AdminResponse(status, "text/plain; charset=utf-8", text);
    }

    static AdminResponse of(ResultCode code, String detail) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("code", code.number());
        node.put("text", code.text());
        if (!detail.isEmpty()) {
            node.put("detail", detail);
        }
        return new AdminResponse(code.httpStatus(), JSON, node.toString());
    }
}
