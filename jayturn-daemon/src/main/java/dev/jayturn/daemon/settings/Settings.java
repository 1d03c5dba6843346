package dev.jayturn.daemon.settings;

import com.google.common.base.Splitter;
import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import dev.jayturn.core.result.ResultCode;
import java.io.IOException;
import java.io.Reader;
import java.io.StringReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ini4j.Ini;
import org.ini4j.Profile;

/** The valid settings of an instance, with defaults for absent keys. */
public final class Settings {
    private final Map<SettingKey, String> values;

    private Settings(Map<SettingKey, String> values) {
        this.values = values;
    }

    /** Returns the defaults: one instance with a quorum of one. */
    public static Settings defaults() {
        return new Settings(new EnumMap<>(SettingKey.class));
    }

    /**
     * Reads and validates a file.
     *
     * @throws SettingsException if a key is unknown or a value is malformed, out of range or unsafe
     */
    public static Settings load(Path file) throws IOException, SettingsException {
        return parse(file.toString(), Files.readString(file, StandardCharsets.UTF_8));
    }

    /**
     * Parses and validates the text of a file.
     *
     * @param name name of the file in error messages
     * @throws SettingsException if a key is unknown or a value is malformed, out of range or unsafe
     */
    public static Settings parse(String name, String text) throws SettingsException {
        Ini ini = new Ini();
        // Values are taken as they are; a backslash in a path is no escape.
        ini.getConfig().setEscape(false);
        try (Reader reader = new StringReader(text)) {
            ini.load(reader);
        } catch (IOException e) {
            throw new SettingsException(
                    name, 1, ResultCode.SETTING_BAD_VALUE, String.valueOf(e.getMessage()));
        }
        Map<SettingKey, String> values = new EnumMap<>(SettingKey.class);
        for (Profile.Section section : ini.values()) {
            readSection(name, text, section, values);
        }
        Settings settings = new Settings(values);
        settings.requireTokenUnlessLoopback(
                name, text, SettingKey.OPERATOR_LISTEN, SettingKey.OPERATOR_TOKEN);
        settings.requireTokenUnlessLoopback(
                name, text, SettingKey.ANNOUNCE_LISTEN, SettingKey.ANNOUNCE_TOKEN);
        return settings;
    }

    private static void readSection(
            String file, String text, Profile.Section section, Map<SettingKey, String> values)
            throws SettingsException {
        String sectionName = section.getName();
        for (String key : section.keySet()) {
            SettingKey settingKey = SettingKey.find(sectionName, key);
            int line = findLine(text, sectionName, key);
            if (settingKey == null) {
                throw new SettingsException(
                        file, line, ResultCode.SETTING_UNKNOWN, "[" + sectionName + "] " + key);
            }
            String value = section.get(key);
            checkValue(file, line, settingKey, value);
            values.put(settingKey, value);
        }
    }

    private static void checkValue(String file, int line, SettingKey key, String value)
            throws SettingsException {
        boolean valid;
        switch (key.type()) {
            case NUMBER:
                valid = isNumber(key, value);
                break;
            case DECIMAL:
                valid = isDecimal(key, value);
                break;
            case ADDRESS:
                valid = isAddress(value);
                break;
            case MEMBERS:
                valid = isMemberList(value);
                break;
            default:
                valid = true;
                break;
        }
        if (!valid) {
            String detail = key.key() + " = " + value + "; " + key.help() + " " + key.range();
            throw new SettingsException(file, line, ResultCode.SETTING_BAD_VALUE, detail);
        }
    }

    private static boolean isNumber(SettingKey key, String value) {
        try {
            return key.isInRange(Long.parseLong(value));
        } catch (NumberFormatException e) {
            return false;
        }
    }

    private static boolean isDecimal(SettingKey key, String value) {
        try {
            return key.isInRange(Double.parseDouble(value));
        } catch (NumberFormatException e) {
            return false;
        }
    }

    private static boolean isMemberList(String value) {
        for (String member : Splitter.on(',').trimResults().omitEmptyStrings().split(value)) {
            List<String> parts = Splitter.on('@').splitToList(member);
            if (parts.size() != 2 || parts.get(0).isEmpty() || !isAddress(parts.get(1))) {
                return false;
            }
        }
        return true;
    }

    private static boolean isAddress(String value) {
        try {
            HostAndPort address = HostAndPort.fromString(value);
            return InetAddresses.isInetAddress(address.getHost()) && address.hasPort();
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    /** Returns the line number of a key, which the INI library does not keep; 0 if not found. */
    private static int findLine(String text, String section, String key) {
        int number = 0;
        boolean inSection = false;
        for (String line : Splitter.on('\n').split(text)) {
            number++;
            String trimmed = line.trim();
            if (trimmed.startsWith("[")) {
                inSection = trimmed.equals("[" + section + "]");
            } else if (inSection && trimmed.split("[=: ]", 2)[0].equals(key)) {
                return number;
            }
        }
        return 0;
    }

    private void requireTokenUnlessLoopback(
            String file, String text, SettingKey listen, SettingKey token)
            throws SettingsException {
        boolean loopback = address(listen).getAddress().isLoopbackAddress();
        if (!loopback && text(token).isEmpty()) {
            throw new SettingsException(
                    file,
                    findLine(text, listen.section(), listen.key()),
                    ResultCode.SETTING_UNSAFE,
                    "set [" + token.section() + "] " + token.key());
        }
    }

    /** Returns a setting as text. */
    public String text(SettingKey key) {
        return values.getOrDefault(key, key.defaultValue());
    }

    /** Returns a setting as a whole number. */
    public long number(SettingKey key) {
        return Long.parseLong(text(key));
    }

    /** Returns a setting as a number that may have a fraction. */
    public double decimal(SettingKey key) {
        return Double.parseDouble(text(key));
    }

    /** Returns a setting as an IP address and port. */
    public InetSocketAddress address(SettingKey key) {
        return parseAddress(text(key));
    }

    /** Returns a setting as a list, split at commas. */
    public List<String> list(SettingKey key) {
        return Splitter.on(',').trimResults().omitEmptyStrings().splitToList(text(key));
    }

    /** Returns the control instances' peer addresses by name, the nearest first. */
    public Map<String, InetSocketAddress> controlAddresses() {
        Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
        for (String member : list(SettingKey.CONTROL_MEMBERS)) {
            List<String> parts = Splitter.on('@').splitToList(member);
            addresses.put(parts.get(0), parseAddress(parts.get(1)));
        }
        if (addresses.isEmpty()) {
            addresses.put(text(SettingKey.INSTANCE_NAME), address(SettingKey.PEER_LISTEN));
        }
        return addresses;
    }

    private static InetSocketAddress parseAddress(String value) {
        HostAndPort address = HostAndPort.fromString(value);
        return new InetSocketAddress(InetAddresses.forString(address.getHost()), address.getPort());
    }
}
