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

    static byte[] decompress(byte[] compressed) {
        try (InflaterInputStream in =
                new InflaterInputStream(new ByteArrayInputStream(compressed))) {
            return ByteStreams.toByteArray(in);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
