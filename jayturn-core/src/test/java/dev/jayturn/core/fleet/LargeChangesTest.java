package dev.jayturn.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import dev.jayturn.core.consensus.AppendRequest;
import dev.jayturn.core.consensus.LogEntry;
import dev.jayturn.core.transport.Message;
import dev.jayturn.core.virtual.VirtualProcess;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * A control instance that has been away gets many large configurations. A message with all of them
 * takes longer on a slow link than the connection waits for a sign of life, and more memory than an
 * instance has.
 */
final class LargeChangesTest {
    private static final int CHANGES = 40;
    private static final int DOCUMENT_BYTES = 100_000;
    private static final int MAX_MESSAGE_BYTES = 400_000;

    private static final ConfigurationCallback IGNORED =
            new ConfigurationCallback() {
                @Override
                public void onConfirmed(ConfigurationDocument document) {}

                @Override
                public void onUnconfirmed() {}
            };

    private final VirtualFleet fleet = new VirtualFleet(3, 3, 0);
    private final List<Integer> bytesByMessage = new ArrayList<>();

    private void recordSize(Message message) {
        if (message instanceof AppendRequest request) {
            int bytes = 0;
            for (LogEntry entry : request.entries()) {
                if (entry.command() instanceof PutConfiguration put) {
                    bytes += put.document().length;
                }
            }
            bytesByMessage.add(bytes);
        }
    }

    @Test
    void instanceThatWasAwayGetsLargeConfigurationsInMessagesOfBoundedSize() {
        fleet.time.runFor(3_000);
        Map<String, VirtualFleet.VirtualControl> followers = new HashMap<>(fleet.controls);
        followers.values().removeIf(control -> control.raft.isLeader());
        VirtualFleet.VirtualControl away = followers.values().iterator().next();
        fleet.network.isolate(away.name);
        for (int version = 1; version <= CHANGES; version++) {
            PutConfiguration put =
                    new PutConfiguration(version, new byte[DOCUMENT_BYTES], Map.of());
            fleet.controls.values().stream()
                    .filter(control -> control.raft.isLeader())
                    .findFirst()
                    .orElseThrow()
                    .instance
                    .put(put, IGNORED);
            fleet.time.runFor(20);
        }
        VirtualProcess process = away.process;
        ControlInstance receiver = away.instance;
        process.onMessage(
                (to, message) -> {
                    recordSize(message);
                    receiver.handle(message);
                });
        fleet.network.heal();
        fleet.time.runFor(3_000);
        assertThat(away.state.configuration().version()).isEqualTo(CHANGES);
        assertThat(bytesByMessage).allMatch(bytes -> bytes <= MAX_MESSAGE_BYTES);
    }
}
