package dev.jayturn.daemon.fleet;

import dev.jayturn.core.slice.ClockReading;
import dev.jayturn.daemon.link.EventLoopTimers;
import dev.jayturn.daemon.link.ServerSockets;
import dev.jayturn.daemon.settings.SettingKey;
import dev.jayturn.daemon.settings.Settings;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;

/**
 * What an entry process does before it loads the rest of the program, which takes seconds on a
 * small share of a core. After a crash of all processes each of these matters: callers that are
 * refused use up their retries, and clocks that are read late do not prove that the predecessor
 * ended within its lease.
 *
 * @param clocks the clocks of the machine at the start of the process
 * @param callers the listening socket for callers
 */
public record ProcessStart(ClockReading clocks, ServerSocketChannel callers) {
    /** Reads the clocks and the id of the boot; call it first of all. */
    public static ClockReading readClocks() {
        long monotonicMillis = EventLoopTimers.monotonicMillis();
        long wallMillis = System.currentTimeMillis();
        return new ClockReading(BootId.read(), monotonicMillis, wallMillis);
    }

    /**
     * Opens the socket for callers; call it as soon as the settings are known.
     *
     * @throws IOException if the address cannot be used
     */
    public static ProcessStart listen(ClockReading clocks, Settings settings) throws IOException {
        return new ProcessStart(
                clocks, ServerSockets.open(settings.address(SettingKey.FLEET_CALLERS)));
    }
}
