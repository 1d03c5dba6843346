package dev.jayturn.lab.load;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;

/**
 * Connections that each send some bytes and never read. They stay open until the crowd is closed,
 * or until the instance closes them.
 */
public final class Crowd implements Closeable {
    private static final int ROUNDS = 60;
    private static final long ROUND_MILLIS = 50;

    private final List<SocketChannel> channels = new ArrayList<>();
    private final List<ByteBuffer> unsent = new ArrayList<>();
    private int closedByInstance;

    /**
     * Connects, and sends as much as the instance takes.
     *
     * @param bytes returns what the connection of a number sends
     */
    public Crowd(String ip, int port, int size, IntFunction<byte[]> bytes)
            throws IOException, InterruptedException {
        for (int i = 0; i < size; i++) {
            SocketChannel channel;
            try {
                channel = SocketChannel.open(new InetSocketAddress(ip, port));
            } catch (IOException e) {
                closedByInstance++;
                continue;
            }
            channel.configureBlocking(false);
            channels.add(channel);
            unsent.add(ByteBuffer.wrap(bytes.apply(i)));
        }
        for (int round = 0; round < ROUNDS; round++) {
            for (int i = 0; i < channels.size(); i++) {
                send(channels.get(i), unsent.get(i));
            }
            Thread.sleep(ROUND_MILLIS);
        }
    }

    private void send(SocketChannel channel, ByteBuffer bytes) throws IOException {
        try {
            if (channel.isOpen()) {
                channel.write(bytes);
            }
        } catch (IOException e) {
            closedByInstance++;
            channel.close();
        }
    }

    /** Returns how many connections were seen to be closed by the instance. */
    public int closedByInstance() {
        return closedByInstance;
    }

    @Override
    public void close() throws IOException {
        for (SocketChannel channel : channels) {
            channel.close();
        }
    }
}
