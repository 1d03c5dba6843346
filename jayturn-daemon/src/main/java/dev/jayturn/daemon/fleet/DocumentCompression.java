package dev.jayturn.daemon.fleet;

import com.google.common.io.ByteStreams;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/** Compression of configuration documents. */
final class DocumentCompression {
    private DocumentCompression() {}

    static byte[] compress(byte[] plain) {
        ByteArrayOutputStream packed = new ByteArrayOutputStream();
        try (DeflaterOutputStream out = new DeflaterOutputStream(packed)) {
            out.write(plain);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return packed.toByteArray();
    }

    static byte[] decompress(byte[] packed) {
        try (InflaterInputStream in = new InflaterInputStream(new ByteArrayInputStream(packed))) {
            return ByteStreams.toByteArray(in);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
