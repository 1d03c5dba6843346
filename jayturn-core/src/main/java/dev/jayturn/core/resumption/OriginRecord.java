package dev.jayturn.core.resumption;

/**
 * What an instance knows about the origin of one stream.
 *
 * @param stream id of the stream, see {@link StreamId}
 * @param service service of the upstream that began the stream
 * @param softwareVersion version of its software; empty if it is not known
 * @param remainingMillis time for which the stream may still be resumed, when the message was sent
 */
public record OriginRecord(
        long stream, String service, String softwareVersion, long remainingMillis) {
    StreamOrigin origin() {
        return new StreamOrigin(service, softwareVersion);
    }
}
