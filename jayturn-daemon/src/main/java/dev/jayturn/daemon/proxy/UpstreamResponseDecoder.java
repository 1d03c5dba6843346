package dev.jayturn.daemon.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.ReferenceCountUtil;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Decodes the responses on a connection to an upstream. Bytes that arrive while no response is due
 * end the connection, because what follows them could be attributed to the wrong request.
 */
final class UpstreamResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_INITIAL_LINE_BYTES = 8_192;
    private static final int MAX_HEADER_BYTES = 65_536;
    private static final int MAX_CHUNK_BYTES = 16_384;
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.\\d \\d{3}");

    private boolean responseDue;
    private boolean headRequest;

    UpstreamResponseDecoder() {
        super(MAX_INITIAL_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES);
    }

    /** Prepares for the response to a request. */
    void onRequest(HttpMethod method) {
        responseDue = true;
        headRequest = method.equals(HttpMethod.HEAD);
    }

    /** Called when no response is due until the next request. */
    void onResponseEnd() {
        responseDue = false;
    }

    /** Returns whether bytes after the message that was decoded last have been received. */
    boolean hasMoreBytes() {
        return actualReadableBytes() > 0;
    }

    /** Returns whether a head consists of two, of which the first one was not finished. */
    static boolean isMerged(HttpHeaders headers) {
        for (Map.Entry<String, String> header : headers) {
            if (header.getValue().contains("HTTP/1.")
                    && STATUS_LINE.matcher(header.getValue()).find()) {
                return true;
            }
        }
        return false;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        if (responseDue || !(message instanceof ByteBuf)) {
            super.channelRead(ctx, message);
            return;
        }
        ReferenceCountUtil.release(message);
        ctx.close();
    }

    /** Returns whether a response has no body because of its status or the request's method. */
    boolean isBodiless(HttpResponse response) {
        return isContentAlwaysEmpty(response);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return headRequest || super.isContentAlwaysEmpty(message);
    }
}
