package dev.jayturn.daemon.http;

import dev.jayturn.core.membership.HubClient;
import dev.jayturn.core.request.EntryNode;
import dev.jayturn.daemon.head.RequestMemory;
import dev.jayturn.daemon.metrics.EntryMetrics;
import dev.jayturn.daemon.upstream.StreamCanceller;
import dev.jayturn.daemon.upstream.UpstreamPools;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The components of an entry instance that its calls use.
 *
 * @param controlLoop the thread that runs the {@link EntryNode} and the {@link HubClient}, the
 *     client of the membership hubs
 * @param draining whether the instance is draining; responses then close the connection
 * @param requestMemory bounds what requests occupy
 * @param bufferBytes limit on the bytes buffered for a slow caller
 */
public record EntryServices(
        Executor controlLoop,
        EntryNode entry,
        HubClient hub,
        UpstreamPools upstreamPools,
        StreamCanceller streamCanceller,
        EntryMetrics metrics,
        AtomicBoolean draining,
        RequestMemory requestMemory,
        int bufferBytes) {}
