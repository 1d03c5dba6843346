package dev.jayturn.daemon.http;

import dev.jayturn.core.membership.HubClient;
import dev.jayturn.core.request.EntryNode;
import dev.jayturn.daemon.metrics.EntryMetrics;
import dev.jayturn.daemon.upstream.StreamCanceller;
import dev.jayturn.daemon.upstream.UpstreamPools;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * What every call at an entry instance uses.
 *
 * @param controlLoop the thread that the entry node and the hub client belong to
 * @param draining whether answers ask the caller to close its connection
 * @param bufferBytes most bytes held for a slow caller
 */
public record EntryServices(
        Executor controlLoop,
        EntryNode entry,
        HubClient hub,
        UpstreamPools upstreamPools,
        StreamCanceller streamCanceller,
        EntryMetrics metrics,
        AtomicBoolean draining,
        int bufferBytes) {}
