package dev.jayturn.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** When a connection of a caller is closed because of its time. */
final class RequestTimeoutHandlerTest {
    private static final long RECEIVE_MILLIS = 10_000;
    private static final long IDLE_MILLIS = 600_000;

    private final RequestTimeoutHandler handler =
            new RequestTimeoutHandler(RECEIVE_MILLIS, IDLE_MILLIS, new ConnectionLimit(1));
    private final EmbeddedChannel channel = new EmbeddedChannel(handler);

    private void pass(long millis) {
        channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
    }

    private void receive() {
        channel.writeInbound(Unpooled.wrappedBuffer(new byte[1]));
        channel.releaseInbound();
    }

    @Test
    void responseThatIsStillReadIsNotCutOffByTheNextRequest() {
        channel.freezeTime();
        handler.onRequestReceived();
        channel.write(Unpooled.wrappedBuffer(new byte[100]));
        handler.onResponseWritten();
        receive();
        pass(RECEIVE_MILLIS);
        assertThat(channel.isOpen()).isTrue();
        pass(RECEIVE_MILLIS);
        assertThat(channel.isOpen()).as("nothing more was read").isFalse();
        channel.finishAndReleaseAll();
    }

    @Test
    void requestThatIsNotCompleteInTimeIsGivenUp() {
        channel.freezeTime();
        handler.onRequestReceived();
        handler.onResponseWritten();
        pass(RECEIVE_MILLIS);
        receive();
        assertThat(channel.isOpen()).as("idle").isTrue();
        pass(RECEIVE_MILLIS);
        assertThat(channel.isOpen()).isFalse();
    }
}
