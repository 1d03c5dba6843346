package dev.jayturn.daemon.proxy;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.netty.buffer.ByteBuf;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;

/**
 * Identifies a request by what stays the same when its caller repeats it: path, caller and body.
 * The digest tells other processes and readers of logs nothing about them.
 */
public final class RequestFingerprint {
    /** Distinguishes fingerprints from the ids of prompt parts. */
    private static final String PREFIX = "request-";

    private static final int DIGITS = 24;

    private final String path;
    private final ByteBuf body;
    private @Nullable String digest;

    RequestFingerprint(String path, ByteBuf body) {
        this.path = path;
        this.body = body;
    }

    /** Returns whether the name of a suspect is the fingerprint of a request. */
    public static boolean isFingerprint(String suspect) {
        return suspect.startsWith(PREFIX);
    }

    /** Returns the fingerprint; the body is read by the first call only. */
    String of(String customer) {
        String known = digest;
        if (known != null) {
            return known;
        }
        Hasher hasher = Hashing.sha256().newHasher();
        hasher.putInt(path.length()).putString(path, StandardCharsets.UTF_8);
        hasher.putInt(customer.length()).putString(customer, StandardCharsets.UTF_8);
        for (ByteBuffer part : body.nioBuffers()) {
            hasher.putBytes(part);
        }
        String created = PREFIX + hasher.hash().toString().substring(0, DIGITS);
        digest = created;
        return created;
    }
}
