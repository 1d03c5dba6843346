package dev.jayturn.daemon.head;

import dev.jayturn.core.limits.HeadBudget;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * Decodes the requests of one connection while its gate allows it, and encodes the responses. A
 * request that follows another stays undecoded until that has ended, because decoded lines occupy
 * many times their length. What the lines of the current request occupy is claimed from the memory
 * of all heads while they arrive.
 */
public final class RequestCodec
        extends CombinedChannelDuplexHandler<HttpRequestDecoder, HttpResponseEncoder>
        implements HeadBudget.Holder {
    /** Undecoded bytes above which reading stops. */
    private static final int MAX_UNDECODED_BYTES = 32 * 1_024;

    /** Bytes that a line occupies beside its own: objects of the caller's and upstream's head. */
    private static final int LINE_BYTES = 256;

    private final HeadMemory memory;
    private final String part;
    private final RequestGate gate;
    private final HeadBudget.Claim claim;
    private final Decoder decoder;
    private @Nullable ChannelHandlerContext context;

    /** Method of the request that waits for the head of its response. */
    private @Nullable HttpMethod unansweredMethod;

    private long occupiedBytes;

    /** What the handler of the requests has decoded from the head beyond its lines. */
    private long valueBytes;

    private boolean discarding;
    private boolean resuming;

    /**
     * Creates the codec of one connection.
     *
     * @param part name of the address in metrics and logs
     */
    public RequestCodec(
            HttpDecoderConfig config, HeadMemory memory, String part, RequestGate gate) {
        this.memory = memory;
        this.part = part;
        this.gate = gate;
        this.claim = memory.budget().open(this);
        this.decoder = new Decoder(config);
        init(decoder, new Encoder());
    }

    private final class Decoder extends HttpRequestDecoder {
        private @Nullable HttpMessage current;
        private boolean insideHead = true;
        private long headBytes;

        Decoder(HttpDecoderConfig config) {
            super(config);
        }

        int undecodedBytes() {
            return actualReadableBytes();
        }

        @Override
        protected HttpMessage createMessage(String[] initialLine) throws Exception {
            HttpMessage message = super.createMessage(initialLine);
            current = message;
            return message;
        }

        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out)
                throws Exception {
            if (discarding) {
                buffer.skipBytes(buffer.readableBytes());
                return;
            }
            if (gate.isPaused()) {
                if (buffer.readableBytes() > MAX_UNDECODED_BYTES) {
                    ctx.channel().config().setAutoRead(false);
                }
                return;
            }
            int start = buffer.readerIndex();
            super.decode(ctx, buffer, out);
            measure(buffer, start, out);
        }

        /**
         * Otherwise the decoder reads on, whatever the channel is set to, until it has a message.
         */
        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
            if (gate.isPaused()) {
                discardSomeReadBytes();
                ctx.fireChannelReadComplete();
            } else {
                super.channelReadComplete(ctx);
            }
        }

        /** Claims the memory of the lines between an index and the reader's. */
        private void measure(ByteBuf buffer, int start, List<Object> out) {
            HttpMessage message = current;
            int bytes = buffer.readerIndex() - start;
            if (insideHead && message != null) {
                headBytes += bytes;
                occupiedBytes = headBytes + (long) message.headers().size() * LINE_BYTES;
            } else if (!insideHead && out.isEmpty()) {
                // Lines of a chunk's size or of trailers; the message with trailers comes last.
                occupiedBytes += bytes + (long) lines(buffer, start) * LINE_BYTES;
            }
            long claimedBytes = occupiedBytes;
            for (Object decoded : out) {
                if (decoded instanceof HttpRequest request) {
                    if (unansweredMethod == null) {
                        // Those behind an unanswered request are decoded only to be discarded.
                        unansweredMethod = request.method();
                    }
                    insideHead = false;
                    headBytes = occupiedBytes;
                }
                if (decoded instanceof LastHttpContent) {
                    insideHead = true;
                    headBytes = 0;
                    current = null;
                } else if (decoded instanceof HttpContent) {
                    occupiedBytes = headBytes;
                    claimedBytes = headBytes;
                }
            }
            claim.resize(claimedBytes + valueBytes);
            if (discarding) {
                // The request was refused because of its own size.
                out.forEach(ReferenceCountUtil::release);
                out.clear();
            }
        }

        private int lines(ByteBuf buffer, int start) {
            int lines = 0;
            for (int i = start; i < buffer.readerIndex(); i++) {
                lines += buffer.getByte(i) == '\n' ? 1 : 0;
            }
            return lines;
        }

        void discard() {
            HttpMessage message = current;
            if (message != null) {
                message.headers().clear();
            }
            current = null;
            // The trailers so far are forgotten when the decoder runs next.
            reset();
            try {
                super.decode(requireContext(), Unpooled.EMPTY_BUFFER, new ArrayList<>());
            } catch (Exception e) {
                requireContext().fireExceptionCaught(e);
            }
        }
    }

    private final class Encoder extends HttpResponseEncoder {
        private @Nullable HttpMethod method;

        @Override
        protected boolean isContentAlwaysEmpty(HttpResponse response) {
            if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                return super.isContentAlwaysEmpty(response);
            }
            method = unansweredMethod;
            unansweredMethod = null;
            return HttpMethod.HEAD.equals(method) || super.isContentAlwaysEmpty(response);
        }

        @Override
        protected void sanitizeHeadersBeforeEncode(HttpResponse response, boolean alwaysEmpty) {
            boolean opensTunnel =
                    HttpMethod.CONNECT.equals(method)
                            && response.status().codeClass() == HttpStatusClass.SUCCESS;
            if (!alwaysEmpty && opensTunnel) {
                response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
                return;
            }
            super.sanitizeHeadersBeforeEncode(response, alwaysEmpty);
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) throws Exception {
        context = ctx;
        super.handlerAdded(ctx);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) throws Exception {
        super.channelInactive(ctx);
        releaseHead();
    }

    /** Returns the number of decoded requests that wait for the head of their response. */
    int unansweredRequests() {
        return unansweredMethod == null ? 0 : 1;
    }

    private ChannelHandlerContext requireContext() {
        return Objects.requireNonNull(context);
    }

    /** Tells the caller that it may send the body. */
    public void askToContinue() {
        requireContext()
                .channel()
                .writeAndFlush(
                        new DefaultFullHttpResponse(
                                HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }

    /**
     * Claims memory for what was decoded from the values of the current head, which may have the
     * request refused.
     */
    public void claimValues(long bytes) {
        valueBytes = bytes;
        claim.resize(occupiedBytes + bytes);
    }

    /**
     * Returns a request in a form that occupies little more than was received, and gives back the
     * rest of its head's memory; the request itself if its head is small.
     */
    public HttpRequest compact(HttpRequest request) {
        if (occupiedBytes <= HeadBudget.FREE_BYTES) {
            return request;
        }
        EncodedHead encoded = EncodedHead.of(request);
        occupiedBytes = encoded.occupiedBytes();
        claim.resize(occupiedBytes + valueBytes);
        return encoded;
    }

    /** Gives back the memory of the last request's head; called when the request has ended. */
    public void releaseHead() {
        occupiedBytes = 0;
        valueBytes = 0;
        claim.release();
    }

    /** Goes on with decoding, soon, if the gate is open, and with reading. */
    public void resume() {
        ChannelHandlerContext ctx = context;
        if (ctx != null && !resuming) {
            resuming = true;
            ctx.executor().execute(() -> decodeMore(ctx));
        }
    }

    private void decodeMore(ChannelHandlerContext ctx) {
        resuming = false;
        if (ctx.isRemoved() || !ctx.channel().isActive()) {
            return;
        }
        if (decoder.undecodedBytes() > 0) {
            try {
                channelRead(ctx, Unpooled.EMPTY_BUFFER);
            } catch (Exception e) {
                ctx.fireExceptionCaught(e);
            }
        }
        boolean fits = !gate.isPaused() || decoder.undecodedBytes() <= MAX_UNDECODED_BYTES;
        if (fits && !gate.isReadingStopped() && !ctx.channel().config().isAutoRead()) {
            ctx.channel().config().setAutoRead(true);
        }
    }

    @Override
    public boolean mayBeRefused() {
        return !gate.isRunning();
    }

    @Override
    public void onRefused() {
        memory.onRefused(part, occupiedBytes + valueBytes);
        occupiedBytes = 0;
        valueBytes = 0;
        discarding = true;
        decoder.discard();
        gate.onHeadRefused();
    }
}
