package dev.jayturn.daemon.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import dev.jayturn.core.membership.Announce;
import dev.jayturn.core.membership.HubClient;
import dev.jayturn.core.membership.Upstream;
import dev.jayturn.core.result.ResultCode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/** Takes upstreams' announcements; each renews the upstream's lease. */
public final class AnnounceApi implements AdminApi {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final String token;
    private final Executor controlLoop;
    private final HubClient hubClient;

    public AnnounceApi(String token, Executor loop, HubClient hub) {
        this.token = token;
        this.controlLoop = loop;
        this.hubClient = hub;
    }

    @Override
    public void handle(AdminRequest request, Consumer<AdminResponse> reply) {
        if (!request.isAuthorized(token)) {
            reply.accept(AdminResponse.of(ResultCode.OPERATOR_UNAUTHORIZED, ""));
            return;
        }
        if (!request.path().equals("/v1/announce") || !request.method().equals("POST")) {
            reply.accept(AdminResponse.of(ResultCode.NOT_FOUND, request.path()));
            return;
        }
        try {
            Announce announce = parseAnnouncement(MAPPER.readTree(request.body()));
            controlLoop.execute(() -> hubClient.publish(announce));
            reply.accept(AdminResponse.of(ResultCode.OK, ""));
        } catch (IOException | IllegalArgumentException e) {
            reply.accept(
                    AdminResponse.of(ResultCode.MALFORMED_REQUEST, String.valueOf(e.getMessage())));
        }
    }

    private static Announce parseAnnouncement(JsonNode node) {
        List<String> models = new ArrayList<>();
        node.path("models").forEach(model -> models.add(model.asText()));
        Upstream upstream =
                new Upstream(
                        requireText(node, "id"),
                        requireText(node, "service"),
                        requireAddress(node),
                        requireText(node, "dataCentre"),
                        node.path("incarnation").asLong(),
                        node.path("sequence").asLong(),
                        models,
                        Math.max(1, node.path("capacity").asInt(1)),
                        node.path("fencing").asBoolean(false),
                        node.path("tombstones").asBoolean(false),
                        node.path("leaving").asBoolean(false));
        return new Announce(upstream, node.path("running").asInt(0), node.path("queued").asInt(0));
    }

    private static String requireText(JsonNode node, String field) {
        String value = node.path(field).asText();
        if (value.isEmpty()) {
            throw new IllegalArgumentException("the field " + field + " is missing");
        }
        return value;
    }

    private static String requireAddress(JsonNode node) {
        String value = requireText(node, "address");
        HostAndPort address = HostAndPort.fromString(value);
        if (!InetAddresses.isInetAddress(address.getHost()) || !address.hasPort()) {
            throw new IllegalArgumentException("address must be IP:port");
        }
        return value;
    }
}
