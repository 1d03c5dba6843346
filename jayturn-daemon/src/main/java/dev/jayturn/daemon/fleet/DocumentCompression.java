package dev.jayturn.daemon.fleet;

import com.google.common.io.ByteStreams;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/** Compresses and decompresses configuration documents in the zlib format. */
final class DocumentCompression {
    /** As long as the longest document that operators may send. */
    private static final int MAX_DOCUMENT_BYTES = HttpApiServer.MAX_BODY_BYTES;

    private DocumentCompression() {}

    static byte[] compress(byte[] document) {
        ByteArrayOutputStream compressed = new ByteArrayOutputStream();
        try (DeflaterOutputStream out = new DeflaterOutputStream(compressed)) {
            out.write(document);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return compressed.toByteArray();
    }

    /**
     * Decompresses a document.
     *
     * @throws UncheckedIOException if it is not in the format, or longer than any that was accepted
     */
    static byte[] decompress(byte[] compressed) {
        try (InflaterInputStream in =
                new InflaterInputStream(new ByteArrayInputStream(compressed))) {
            byte[] document =
                    ByteStreams.toByteArray(ByteStreams.limit(in, MAX_DOCUMENT_BYTES + 1L));
            if (document.length > MAX_DOCUMENT_BYTES) {
                throw new IOException("the document is too long");
            }
            return document;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
