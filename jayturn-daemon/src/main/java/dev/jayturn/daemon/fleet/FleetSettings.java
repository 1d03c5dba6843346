package dev.jayturn.daemon.fleet;

import com.google.common.base.Splitter;
import com.google.common.net.HostAndPort;
import dev.jayturn.core.dispatch.Location;
import dev.jayturn.daemon.settings.SettingKey;
import dev.jayturn.daemon.settings.Settings;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Settings of a fleet's processes in the form that they use. */
final class FleetSettings {
    private FleetSettings() {}

    static String linkAddress(Settings settings) {
        InetSocketAddress address = settings.address(SettingKey.FLEET_LISTEN);
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Returns the link addresses of the control instances to start from. */
    static List<String> seedAddresses(Settings settings) {
        int port = settings.address(SettingKey.FLEET_LISTEN).getPort();
        List<String> seeds = new ArrayList<>();
        for (String seed : settings.list(SettingKey.FLEET_SEEDS)) {
            seeds.add(HostAndPort.fromString(seed).getHost() + ":" + port);
        }
        return seeds;
    }

    static Location location(Settings settings) {
        Map<String, String> regions = new HashMap<>();
        for (String pair : settings.list(SettingKey.FLEET_REGIONS)) {
            List<String> parts = Splitter.on('=').trimResults().splitToList(pair);
            regions.put(parts.get(0), parts.get(parts.size() - 1));
        }
        return new Location(settings.text(SettingKey.DATA_CENTRE), regions);
    }
}
