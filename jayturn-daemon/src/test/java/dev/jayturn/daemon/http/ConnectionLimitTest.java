package dev.jayturn.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

/** Which connections give way when there are as many as are allowed. */
final class ConnectionLimitTest {
    private final ConnectionLimit limit = new ConnectionLimit(2);
    private final EmbeddedChannel first = new EmbeddedChannel();
    private final EmbeddedChannel second = new EmbeddedChannel();
    private final EmbeddedChannel third = new EmbeddedChannel();

    private boolean admit(Channel channel) {
        boolean admitted = limit.admit(channel);
        first.runPendingTasks();
        second.runPendingTasks();
        return admitted;
    }

    @Test
    void longestWaitingConnectionGivesWay() {
        assertThat(admit(first)).isTrue();
        assertThat(admit(second)).isTrue();
        limit.onRunning(first);
        limit.onWaiting(first);
        assertThat(admit(third)).isTrue();
        assertThat(first.isOpen()).isTrue();
        assertThat(second.isOpen()).isFalse();
    }

    @Test
    void connectionsWhoseRequestRunsAreNeverClosed() {
        admit(first);
        admit(second);
        limit.onRunning(first);
        limit.onRunning(second);
        assertThat(admit(third)).isFalse();
        assertThat(first.isOpen()).isTrue();
        assertThat(second.isOpen()).isTrue();
    }

    @Test
    void connectionThatStillSendsItsResponseIsNotClosed() {
        admit(first);
        admit(second);
        first.write(Unpooled.wrappedBuffer(new byte[1]));
        assertThat(admit(third)).isTrue();
        assertThat(first.isOpen()).isTrue();
        assertThat(second.isOpen()).isFalse();
        first.finishAndReleaseAll();
    }

    @Test
    void closedConnectionMakesRoom() {
        admit(first);
        admit(second);
        limit.onRunning(second);
        first.close();
        assertThat(admit(third)).isTrue();
        assertThat(second.isOpen()).isTrue();
    }
}
