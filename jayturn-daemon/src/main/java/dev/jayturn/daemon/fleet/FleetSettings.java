package dev.jayturn.daemon.fleet;

import com.google.common.base.Splitter;
import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import dev.jayturn.core.dispatch.Location;
import dev.jayturn.daemon.settings.SettingKey;
import dev.jayturn.daemon.settings.Settings;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Converts fleet settings to the types that the processes use. */
final class FleetSettings {
    private static final long BYTES_PER_MEGABYTE = 1 << 20;

    private FleetSettings() {}

    /** Returns the address of this instance, by which other instances send to it. */
    static String linkAddress(Settings settings) {
        InetSocketAddress address = settings.address(SettingKey.FLEET_LISTEN);
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /**
     * Returns the link addresses of the control instances to contact first: the IPs of the seeds
     * with this instance's own link port.
     */
    static List<String> seedAddresses(Settings settings) {
        int port = settings.address(SettingKey.FLEET_LISTEN).getPort();
        List<String> seeds = new ArrayList<>();
        for (String seed : settings.list(SettingKey.FLEET_SEEDS)) {
            seeds.add(HostAndPort.fromString(seed).getHost() + ":" + port);
        }
        return seeds;
    }

    /** Returns the address that connections to upstreams come from; null if it is not set. */
    static @Nullable InetSocketAddress sourceAddress(Settings settings) {
        String source = settings.text(SettingKey.FLEET_SOURCE);
        return source.isEmpty() ? null : new InetSocketAddress(InetAddresses.forString(source), 0);
    }

    static Location location(Settings settings) {
        Map<String, String> regions = new HashMap<>();
        for (String pair : settings.list(SettingKey.FLEET_REGIONS)) {
            List<String> parts = Splitter.on('=').trimResults().splitToList(pair);
            regions.put(parts.get(0), parts.get(parts.size() - 1));
        }
        return new Location(settings.text(SettingKey.DATA_CENTRE), regions);
    }

    /** Returns the bound on the memory of the unfinished messages of other instances. */
    static long frameBytes(Settings settings) {
        return settings.number(SettingKey.FLEET_FRAME_MEMORY) * BYTES_PER_MEGABYTE;
    }
}
