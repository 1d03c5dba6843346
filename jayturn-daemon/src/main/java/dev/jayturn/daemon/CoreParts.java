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
import dev.jayturn.daemon.operator.Gathering;
import dev.jayturn.daemon.settings.SettingKey;
import dev.jayturn.daemon.settings.Settings;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** The decision logic of an instance; made and used on the control loop. */
final class CoreParts {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final String CONTROL_ROLE = "control";

    private final @Nullable ControlPart control;
    private final MembersView members;
    private final HubClient hub;
    private final EntryNode entry;
    private final Gathering gathering;

    CoreParts(
            Settings settings,
            boolean initCluster,
            Transport transport,
            ControlLoop loop,
            RandomSource random)
            throws IOException, JournalCorruptException {
        String name = settings.text(SettingKey.NAME);
        List<String> controls = new ArrayList<>(settings.controls().keySet());
        control =
                settings.list(SettingKey.ROLES).contains(CONTROL_ROLE)
                        ? new ControlPart(settings, initCluster, transport, loop, random, loop)
                        : null;
        members = new MembersView(loop, settings.number(SettingKey.UPSTREAM_LEASE));
        CircuitBreakers breakers = new CircuitBreakers(loop);
        hub =
                new HubClient(
                        name,
                        settings.text(SettingKey.DATA_CENTRE),
                        controls,
                        List.of(),
                        members,
                        transport,
                        loop);
        entry =
                new EntryNode(
                        name,
                        loop.nowMillis(),
                        controls,
                        new Router(members, breakers, random),
                        breakers,
                        transport,
                        loop,
                        CoreParts::logDecision);
        gathering = new Gathering(name, controls, transport, loop);
    }

    private static void logDecision(String callId, String sentence) {
        LOGGER.atInfo().log("route: %s: %s", callId, sentence);
    }

    /** Passes a message to every part; each takes the kinds that it knows. */
    void deliver(Message message) {
        if (control != null) {
            control.handle(message);
        }
        hub.handle(message);
        entry.handle(message);
        gathering.handle(message);
    }

    @Nullable ControlPart control() {
        return control;
    }

    MembersView members() {
        return members;
    }

    HubClient hub() {
        return hub;
    }

    EntryNode entry() {
        return entry;
    }

    Gathering gathering() {
        return gathering;
    }
}
