package dev.jayturn.daemon.peer;

import dev.jayturn.wire.generated.Envelope;
import io.grpc.stub.CallStreamObserver;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Sends messages on one stream. Messages beyond the queue limit are dropped, which the transport
 * allows: it gives no delivery guarantee.
 */
final class PeerLink {
    private static final int MAX_QUEUED_MESSAGES = 20_000;

    private final Deque<Envelope> queue = new ArrayDeque<>();
    private final CallStreamObserver<Envelope> stream;
    private boolean closed;

    PeerLink(CallStreamObserver<Envelope> stream) {
        this.stream = stream;
    }

    synchronized void send(Envelope envelope) {
        if (closed || queue.size() >= MAX_QUEUED_MESSAGES) {
            return;
        }
        queue.add(envelope);
        drain();
    }

    /** Sends queued messages while the stream accepts them. */
    synchronized void drain() {
        while (!closed && !queue.isEmpty() && stream.isReady()) {
            stream.onNext(queue.remove());
        }
    }

    /** Closes the link and drops queued messages. */
    synchronized void close() {
        closed = true;
        queue.clear();
    }

    synchronized boolean isClosed() {
        return closed;
    }
}
