package dev.jayturn.daemon;

import com.google.common.flogger.FluentLogger;
import dev.jayturn.core.membership.HubClient;
import dev.jayturn.core.membership.MembersView;
import dev.jayturn.core.random.RandomSource;
import dev.jayturn.core.request.EntryNode;
import dev.jayturn.core.retry.CircuitBreakers;
import dev.jayturn.core.routing.Router;
import dev.jayturn.core.transport.Message;
import dev.jayturn.core.transport.Transport;
import dev.jayturn.daemon.journal.JournalCorruptException;
import dev.jayturn.daemon.loop.ControlLoop;
import dev.jayturn.daemon.operator.ControlQueryClient;
import dev.jayturn.daemon.settings.SettingKey;
import dev.jayturn.daemon.settings.Settings;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** The decision logic of an instance; created and used on the control loop. */
final class CoreComponents {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final String CONTROL_ROLE = "control";

    private final @Nullable ControlComponents controlComponents;
    private final MembersView members;
    private final HubClient hubClient;
    private final EntryNode entry;
    private final ControlQueryClient queryClient;

    CoreComponents(
            Settings settings,
            boolean initCluster,
            Transport transport,
            ControlLoop loop,
            RandomSource random)
            throws IOException, JournalCorruptException {
        String name = settings.text(SettingKey.INSTANCE_NAME);
        List<String> controlInstances = new ArrayList<>(settings.controlAddresses().keySet());
        controlComponents =
                settings.list(SettingKey.ROLES).contains(CONTROL_ROLE)
                        ? new ControlComponents(
                                settings, initCluster, transport, loop, random, loop)
                        : null;
        members = new MembersView(loop, settings.number(SettingKey.UPSTREAM_LEASE));
        CircuitBreakers breakers = new CircuitBreakers(loop);
        hubClient =
                new HubClient(
                        name,
                        settings.text(SettingKey.DATA_CENTRE),
                        controlInstances,
                        List.of(),
                        members,
                        transport,
                        loop);
        entry =
                new EntryNode(
                        name,
                        loop.nowMillis(),
                        controlInstances,
                        new Router(members, breakers, random),
                        breakers,
                        transport,
                        loop,
                        random,
                        CoreComponents::logDecision);
        queryClient = new ControlQueryClient(name, controlInstances, transport, loop);
    }

    private static void logDecision(String callId, String decision) {
        LOGGER.atInfo().log("route: %s: %s", callId, decision);
    }

    /** Passes a message to every component; each handles the types that it knows. */
    void deliver(Message message) {
        if (controlComponents != null) {
            controlComponents.handle(message);
        }
        hubClient.handle(message);
        entry.handle(message);
        queryClient.handle(message);
    }

    @Nullable ControlComponents controlComponents() {
        return controlComponents;
    }

    MembersView members() {
        return members;
    }

    HubClient hubClient() {
        return hubClient;
    }

    EntryNode entry() {
        return entry;
    }

    ControlQueryClient queryClient() {
        return queryClient;
    }
}
