package dev.jayturn.daemon;

import dev.jayturn.core.budget.CancelStream;
import dev.jayturn.core.transport.Addresses;
import dev.jayturn.core.transport.Message;
import dev.jayturn.core.transport.Transport;
import dev.jayturn.daemon.peer.MessageSink;
import dev.jayturn.daemon.upstream.StreamCanceller;
import io.netty.channel.EventLoopGroup;
import java.util.concurrent.Executor;

/** Sends what is meant for upstreams over HTTP and everything else to instances. */
final class UpstreamTransport implements Transport {
    private final Transport instanceTransport;
    private final StreamCanceller canceller;
    private final EventLoopGroup group;
    private final Executor loop;
    private final MessageSink sink;

    UpstreamTransport(
            Transport instances,
            StreamCanceller canceller,
            EventLoopGroup group,
            Executor loop,
            MessageSink sink) {
        this.instanceTransport = instances;
        this.canceller = canceller;
        this.group = group;
        this.loop = loop;
        this.sink = sink;
    }

    @Override
    public void send(String to, Message message) {
        if (!Addresses.isUpstream(to)) {
            instanceTransport.send(to, message);
            return;
        }
        if (message instanceof CancelStream cancel) {
            String address = to.substring(Addresses.UPSTREAM_PREFIX.length());
            canceller.cancel(
                    group.next(),
                    address,
                    cancel.intentId(),
                    answer -> {
                        if (answer != null) {
                            loop.execute(() -> sink.deliver(cancel.replyTo(), answer));
                        }
                    });
        }
    }
}
