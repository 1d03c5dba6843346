package dev.jayturn.daemon.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import java.util.function.Consumer;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * Decodes the responses on a connection to an upstream. A head with a status that is no three
 * digits, or with a folded line, is a failure of the decoder: a folded line may hide a length.
 * Bytes that arrive while no response is due end the connection, because what follows them could be
 * attributed to the wrong request.
 */
public final class UpstreamResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_INITIAL_LINE_BYTES = 8_192;
    private static final int MAX_HEADER_BYTES = 65_536;
    private static final int MAX_CHUNK_BYTES = 16_384;
    private static final Pattern STATUS = Pattern.compile("\\d{3}");

    private @Nullable Consumer<ByteBuf> lateBytes;
    private boolean responseDue;
    private boolean headRequest;
    private boolean insideHead = true;
    private boolean folded;
    private byte previousByte;

    /** Creates the decoder of one connection. */
    public UpstreamResponseDecoder() {
        super(MAX_INITIAL_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES);
    }

    /** Prepares for the response to a request. */
    public void onRequest(HttpMethod method) {
        responseDue = true;
        headRequest = method.equals(HttpMethod.HEAD);
    }

    /**
     * Passes bytes that arrive while no response is due to a consumer, until the connection ends.
     */
    public void passBytesTo(Consumer<ByteBuf> consumer) {
        lateBytes = consumer;
    }

    /** Called when no response is due until the next request. */
    public void onResponseEnd() {
        responseDue = false;
    }

    /** Returns whether bytes after the message that was decoded last have been received. */
    public boolean hasMoreBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        if (responseDue || !(message instanceof ByteBuf)) {
            super.channelRead(ctx, message);
            return;
        }
        try {
            if (lateBytes == null) {
                ctx.close();
            } else {
                lateBytes.accept((ByteBuf) message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    /** Returns the bytes after the message that was decoded last; they are not consumed. */
    public ByteBuf moreBytes() {
        return internalBuffer();
    }

    /** Returns whether a response has no body because of its status or the request's method. */
    public boolean isBodiless(HttpResponse response) {
        return isContentAlwaysEmpty(response);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return headRequest || super.isContentAlwaysEmpty(message);
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        if (!STATUS.matcher(initialLine[1]).matches()) {
            throw new IllegalArgumentException("the status is not a number of three digits");
        }
        return super.createMessage(initialLine);
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out)
            throws Exception {
        int start = buffer.readerIndex();
        int decodedBefore = out.size();
        super.decode(ctx, buffer, out);
        if (insideHead) {
            findFoldedLine(buffer, start);
        }
        for (Object message : out.subList(decodedBefore, out.size())) {
            if (message instanceof HttpResponse response) {
                insideHead = false;
                if (folded) {
                    response.setDecoderResult(
                            DecoderResult.failure(
                                    new IllegalArgumentException("a header line is folded")));
                }
            }
            if (message instanceof LastHttpContent) {
                insideHead = true;
                folded = false;
                previousByte = 0;
            }
        }
    }

    /** Looks for a line that starts with white space in the part of a head that was decoded. */
    private void findFoldedLine(ByteBuf buffer, int start) {
        for (int i = start; i < buffer.readerIndex(); i++) {
            byte next = buffer.getByte(i);
            folded = folded || (previousByte == '\n' && (next == ' ' || next == '\t'));
            previousByte = next;
        }
    }
}
