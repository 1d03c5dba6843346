package dev.jayturn.daemon.peer;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.ByteString;
import dev.jayturn.core.transport.Addresses;
import dev.jayturn.core.transport.Message;
import dev.jayturn.core.transport.Transport;
import dev.jayturn.wire.MessageCodec;
import dev.jayturn.wire.generated.Envelope;
import dev.jayturn.wire.generated.PeerGrpc;
import io.grpc.ManagedChannel;
import io.grpc.Server;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.netty.NettyServerBuilder;
import io.grpc.stub.CallStreamObserver;
import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/**
 * Sends messages between instances over gRPC streams. An instance opens a stream to each instance
 * that it sends to and has an address of, which are the control instances. Messages to any other
 * instance are sent on the stream that the other instance opened, and dropped if there is none.
 */
public final class GrpcTransport implements Transport, AutoCloseable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final long KEEP_ALIVE_INTERVAL_SECONDS = 10;
    private static final int MAX_MESSAGE_BYTES = 64 << 20;

    /** An instance needs one, and another one after a fault until the first is known to be lost. */
    private static final int MAX_CALLS_OF_A_CONNECTION = 8;

    private static final long REDIAL_INTERVAL_MILLIS = 200;

    private final String self;
    private final Map<String, InetSocketAddress> addresses;
    private final Executor controlLoop;
    private final MessageSink sink;
    private final Server server;
    private final Map<String, ManagedChannel> channels = new HashMap<>();
    private final Map<String, PeerLink> outgoingLinks = new HashMap<>();
    private final Map<String, Long> nextDialMillis = new HashMap<>();
    private final Map<String, PeerLink> incomingLinks = new ConcurrentHashMap<>();
    private final AtomicLong sentBytes = new AtomicLong();
    private final AtomicLong receivedBytes = new AtomicLong();

    /** Starts listening; received messages are delivered to the sink on the control loop. */
    public GrpcTransport(
            String self,
            InetSocketAddress listen,
            Map<String, InetSocketAddress> addresses,
            Executor controlLoop,
            MessageSink sink)
            throws IOException {
        this.self = self;
        this.addresses = Map.copyOf(addresses);
        this.controlLoop = controlLoop;
        this.sink = sink;
        this.server =
                NettyServerBuilder.forAddress(listen)
                        .maxInboundMessageSize(MAX_MESSAGE_BYTES)
                        .maxConcurrentCallsPerConnection(MAX_CALLS_OF_A_CONNECTION)
                        .permitKeepAliveTime(KEEP_ALIVE_INTERVAL_SECONDS / 2, TimeUnit.SECONDS)
                        .permitKeepAliveWithoutCalls(true)
                        .addService(new PeerService())
                        .build()
                        .start();
    }

    /** Returns the total size of the message bodies sent to other instances, in bytes. */
    public long sentBytes() {
        return sentBytes.get();
    }

    /** Returns the total size of the message bodies received, in bytes. */
    public long receivedBytes() {
        return receivedBytes.get();
    }

    /** Sends a message. Must be called on the control loop. */
    @Override
    public void send(String to, Message message) {
        String instance = Addresses.instanceOf(to);
        if (instance.equals(self)) {
            controlLoop.execute(() -> sink.deliver(to, message));
            return;
        }
        PeerLink link =
                addresses.containsKey(instance)
                        ? outgoingLink(instance)
                        : incomingLinks.get(instance);
        if (link == null) {
            return;
        }
        byte[] body = MessageCodec.encode(message);
        sentBytes.addAndGet(body.length);
        link.send(
                Envelope.newBuilder()
                        .setFrom(self)
                        .setTo(to)
                        .setBody(ByteString.copyFrom(body))
                        .build());
    }

    /**
     * Returns the open link to an instance, or opens one. Returns null if the last attempt to open
     * one was made within the redial interval.
     */
    private @Nullable PeerLink outgoingLink(String instance) {
        PeerLink link = outgoingLinks.get(instance);
        if (link != null && !link.isClosed()) {
            return link;
        }
        long now = System.currentTimeMillis();
        if (now < nextDialMillis.getOrDefault(instance, 0L)) {
            return null;
        }
        nextDialMillis.put(instance, now + REDIAL_INTERVAL_MILLIS);
        ManagedChannel channel = channels.computeIfAbsent(instance, this::createChannel);
        channel.resetConnectBackoff();
        OutgoingStream stream = new OutgoingStream();
        PeerGrpc.newStub(channel).exchange(stream);
        PeerLink newLink = stream.link();
        outgoingLinks.put(instance, newLink);
        return newLink;
    }

    private ManagedChannel createChannel(String instance) {
        InetSocketAddress address = addresses.get(instance);
        return NettyChannelBuilder.forAddress(address)
                .usePlaintext()
                .maxInboundMessageSize(MAX_MESSAGE_BYTES)
                .keepAliveTime(KEEP_ALIVE_INTERVAL_SECONDS, TimeUnit.SECONDS)
                .keepAliveTimeout(KEEP_ALIVE_INTERVAL_SECONDS / 2, TimeUnit.SECONDS)
                .build();
    }

    private void receive(Envelope envelope) {
        receivedBytes.addAndGet(envelope.getBody().size());
        try {
            Message message = MessageCodec.decodeMessage(envelope.getBody().toByteArray());
            controlLoop.execute(() -> sink.deliver(envelope.getTo(), message));
        } catch (IOException e) {
            LOGGER.atWarning().withCause(e).log(
                    "peer: Could not decode a message from %s; dropped it.", envelope.getFrom());
        }
    }

    @Override
    public void close() {
        server.shutdownNow();
        channels.values().forEach(ManagedChannel::shutdownNow);
    }

    private final class OutgoingStream implements ClientResponseObserver<Envelope, Envelope> {
        private @Nullable PeerLink link;

        PeerLink link() {
            if (link == null) {
                throw new IllegalStateException("the stream was not started");
            }
            return link;
        }

        @Override
        public void beforeStart(ClientCallStreamObserver<Envelope> stream) {
            PeerLink newLink = new PeerLink(stream);
            link = newLink;
            stream.setOnReadyHandler(newLink::drain);
        }

        @Override
        public void onNext(Envelope envelope) {
            receive(envelope);
        }

        @Override
        public void onError(Throwable cause) {
            link().close();
        }

        @Override
        public void onCompleted() {
            link().close();
        }
    }

    private final class PeerService extends PeerGrpc.PeerImplBase {
        @Override
        public StreamObserver<Envelope> exchange(StreamObserver<Envelope> responses) {
            ServerCallStreamObserver<Envelope> stream =
                    (ServerCallStreamObserver<Envelope>) responses;
            PeerLink link = new PeerLink((CallStreamObserver<Envelope>) responses);
            stream.setOnReadyHandler(link::drain);
            stream.setOnCancelHandler(link::close);
            return new IncomingStream(link);
        }
    }

    private final class IncomingStream implements StreamObserver<Envelope> {
        private final PeerLink link;
        private String from = "";

        IncomingStream(PeerLink link) {
            this.link = link;
        }

        @Override
        public void onNext(Envelope envelope) {
            if (!envelope.getFrom().equals(from)) {
                from = envelope.getFrom();
                incomingLinks.put(from, link);
            }
            receive(envelope);
        }

        @Override
        public void onError(Throwable cause) {
            closeLink();
        }

        @Override
        public void onCompleted() {
            closeLink();
        }

        private void closeLink() {
            link.close();
            incomingLinks.remove(from, link);
        }
    }
}
