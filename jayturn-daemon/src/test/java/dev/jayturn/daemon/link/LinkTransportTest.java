package dev.jayturn.daemon.link;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import dev.jayturn.core.consensus.JoinRequest;
import dev.jayturn.core.limits.LinkLimiter;
import dev.jayturn.core.limits.LinkPeer;
import dev.jayturn.core.transport.Message;
import dev.jayturn.daemon.eventlog.EventLog;
import dev.jayturn.daemon.metrics.FleetMetrics;
import dev.jayturn.wire.MessageCodec;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Messages that cannot be handled must not take those with them that come on their connection. */
@Timeout(20)
final class LinkTransportTest {
    private static final String HOST = "127.51.0.1";
    private static final String FAILING_MEMBER = "fails";
    private static final long FRAME_MEMORY_BYTES = 1 << 20;
    private static final int LINES_PER_SECOND = 100;
    private static final long ARRIVAL_SECONDS = 2;

    private final EventLoop loop =
            (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final FleetMetrics metrics = new FleetMetrics();
    private final BlockingQueue<Message> received = new LinkedBlockingQueue<>();
    private Socket peer = new Socket();

    private record FutureMessage(@JsonProperty("@") String type, int value) {}

    @BeforeEach
    void connect() throws IOException, InterruptedException {
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            port = free.getLocalPort();
        }
        InetSocketAddress address = new InetSocketAddress(HOST, port);
        EventLoopTimers timers = new EventLoopTimers(loop);
        EventLog log =
                new EventLog(
                        OutputStream.nullOutputStream(),
                        System::currentTimeMillis,
                        LINES_PER_SECOND);
        loop.submit(
                        () ->
                                new LinkTransport(
                                                HOST + ':' + port,
                                                loop,
                                                timers,
                                                metrics,
                                                new LinkMeter(
                                                        new LinkLimiter(timers, 0),
                                                        LinkPeer.INSTANCE),
                                                log,
                                                this::receive)
                                        .listen(address, FRAME_MEMORY_BYTES))
                .sync();
        while (!peer.isConnected()) {
            try {
                peer = new Socket(HOST, port);
            } catch (IOException e) {
                // The transport does not listen yet.
                Thread.sleep(10);
            }
        }
    }

    @AfterEach
    void close() throws IOException {
        peer.close();
        loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void receive(Message message) {
        if (message instanceof JoinRequest join && join.from().equals(FAILING_MEMBER)) {
            throw new IllegalStateException("a fault of the handler");
        }
        received.add(message);
    }

    private void send(byte[] body) throws IOException {
        DataOutputStream out = new DataOutputStream(peer.getOutputStream());
        out.writeInt(body.length + 1);
        out.writeByte(LinkTransport.MESSAGE);
        out.write(body);
        out.flush();
    }

    private void assertArrives(String member) throws IOException, InterruptedException {
        JoinRequest message = new JoinRequest(member);
        send(MessageCodec.encode(message));
        @Nullable Message arrived = received.poll(ARRIVAL_SECONDS, TimeUnit.SECONDS);
        assertThat(arrived).isEqualTo(message);
    }

    /** Waits until the failure is counted, so that the next message comes in another read. */
    private void awaitCounted(String failure) throws InterruptedException {
        String line = "jayturn_link_messages_failed_total{failure=\"" + failure + "\"} 1.0";
        while (!metrics.scrape().contains(line)) {
            Thread.sleep(10);
        }
    }

    @Test
    void messageAfterOneOfAnUnknownKindArrives() throws IOException, InterruptedException {
        assertArrives("before");
        send(new CBORMapper().writeValueAsBytes(new FutureMessage("Invitation", 3)));
        awaitCounted("unknown");
        assertArrives("after");
    }

    @Test
    void messageAfterOneWhoseHandlerFailsArrives() throws IOException, InterruptedException {
        assertArrives("before");
        send(MessageCodec.encode(new JoinRequest(FAILING_MEMBER)));
        awaitCounted("handler");
        assertArrives("after");
    }

    @Test
    void messageAfterAnUnreadableOneArrives() throws IOException, InterruptedException {
        assertArrives("before");
        send(new byte[] {1, 2, 3});
        awaitCounted("unreadable");
        assertArrives("after");
    }
}
