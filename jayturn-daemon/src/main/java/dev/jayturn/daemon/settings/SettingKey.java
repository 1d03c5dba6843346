package dev.jayturn.daemon.settings;

import org.jspecify.annotations.Nullable;

/** Every setting with its type, unit, default and range. */
public enum SettingKey {
    INSTANCE_NAME("instance", "name", Type.TEXT, "embedded", 0, 0, "name of this instance"),
    DATA_CENTRE("instance", "data-centre", Type.TEXT, "local", 0, 0, "its data centre"),
    ROLES("instance", "roles", Type.LIST, "entry,control", 0, 0, "entry, control or both"),
    ENTRY_LISTEN("entry", "listen", Type.ADDRESS, "127.0.0.1:8080", 0, 0, "callers' IP:port"),
    ENTRY_THREADS("entry", "threads", Type.NUMBER, "2", 1, 64, "event loops"),
    MAX_BODY("entry", "max-body", Type.NUMBER, "1048576", 1024, 67108864, "bytes"),
    MAX_CONNECTIONS("entry", "max-connections", Type.NUMBER, "20000", 1, 1000000, "open"),
    HEADER_TIMEOUT("entry", "header-timeout", Type.NUMBER, "10000", 100, 600000, "milliseconds"),
    IDLE_TIMEOUT("entry", "idle-timeout", Type.NUMBER, "600000", 100, 86400000, "milliseconds"),
    HEADER_MEMORY(
            "entry",
            "header-memory",
            Type.NUMBER,
            "12",
            1,
            4096,
            "megabytes of all heads of requests that are not small"),
    ENTRY_BUFFER(
            "entry",
            "buffer",
            Type.NUMBER,
            "65536",
            4096,
            16777216,
            "bytes held for a slow caller"),
    DRAIN_TIMEOUT("entry", "drain-timeout", Type.NUMBER, "3600000", 0, 86400000, "milliseconds"),
    DRAIN_GRACE("entry", "drain-grace", Type.NUMBER, "1000", 0, 600000, "milliseconds"),
    OPERATOR_LISTEN(
            "operator", "listen", Type.ADDRESS, "127.0.0.1:8081", 0, 0, "operators' IP:port"),
    OPERATOR_TOKEN("operator", "token", Type.TEXT, "", 0, 0, "bearer token; none on loopback only"),
    ANNOUNCE_LISTEN(
            "announce", "listen", Type.ADDRESS, "127.0.0.1:8082", 0, 0, "upstreams' IP:port"),
    ANNOUNCE_TOKEN("announce", "token", Type.TEXT, "", 0, 0, "bearer token; none on loopback only"),
    UPSTREAM_LEASE("announce", "lease", Type.NUMBER, "5000", 500, 600000, "milliseconds"),
    PEER_LISTEN("peer", "listen", Type.ADDRESS, "127.0.0.1:8083", 0, 0, "other instances' IP:port"),
    CONTROL_MEMBERS(
            "control",
            "members",
            Type.MEMBERS,
            "",
            0,
            0,
            "control instances as NAME@IP:port, the nearest first; none for this one alone"),
    DATA_FOLDER("control", "data-folder", Type.TEXT, "data", 0, 0, "folder of the durable state"),
    INCARNATION_LEASE(
            "control", "incarnation-lease", Type.NUMBER, "5000", 500, 600000, "milliseconds"),
    ELECTION("control", "election", Type.NUMBER, "500", 50, 60000, "milliseconds"),
    HEARTBEAT("control", "heartbeat", Type.NUMBER, "100", 10, 10000, "milliseconds"),
    SNAPSHOT(
            "control", "snapshot", Type.NUMBER, "20000", 10, 10000000, "entries between snapshots"),
    ASK_WAIT("control", "ask-wait", Type.NUMBER, "300", 1, 60000, "milliseconds"),
    FLEET_LISTEN(
            "fleet", "listen", Type.ADDRESS, "127.0.0.1:8084", 0, 0, "other instances' IP:port"),
    FLEET_SEEDS(
            "fleet", "seeds", Type.LIST, "", 0, 0, "IPs of control instances, a port is ignored"),
    FLEET_NEW("fleet", "new", Type.TEXT, "false", 0, 0, "true if no instance has run before"),
    FLEET_REGIONS("fleet", "regions", Type.LIST, "", 0, 0, "regions as DATA-CENTRE=REGION"),
    FLEET_CALLERS("fleet", "callers", Type.ADDRESS, "127.0.0.1:8085", 0, 0, "callers' IP:port"),
    FLEET_READY("fleet", "ready", Type.ADDRESS, "127.0.0.1:8086", 0, 0, "the balancer's IP:port"),
    FLEET_CONTROL("fleet", "control", Type.ADDRESS, "127.0.0.1:8087", 0, 0, "operators' IP:port"),
    FLEET_DATA_FOLDER(
            "fleet", "data-folder", Type.TEXT, "data", 0, 0, "folder of the durable state"),
    FLEET_GRACE("fleet", "grace", Type.DECIMAL, "8", 1, 3600, "seconds from SIGTERM to SIGKILL"),
    FLEET_LINK_CAPACITY(
            "fleet", "link", Type.DECIMAL, "0", 0, 1000000, "megabits/s each way; 0: unknown"),
    FLEET_LOAD_SUMS(
            "fleet",
            "load-sums-from",
            Type.NUMBER,
            "0",
            0,
            100000,
            "entry instances from which on they share sums of their load; 0: never"),
    FLEET_RETRY_RATIO("fleet", "retry-ratio", Type.DECIMAL, "0.2", 0, 10, "share of the requests"),
    FLEET_RETRY_SLACK(
            "fleet", "retry-slack", Type.DECIMAL, "50", 0, 1000000, "retries beside the ratio"),
    FLEET_RETRY_WINDOW("fleet", "retry-window", Type.DECIMAL, "10", 1, 600, "seconds"),
    FLEET_RESERVE(
            "fleet",
            "reserve",
            Type.DECIMAL,
            "0",
            0,
            1,
            "share of a full link that the cheapest requests leave to others; 0: order of arrival"),
    FLEET_SOURCE(
            "fleet",
            "source",
            Type.TEXT,
            "",
            0,
            0,
            "IP address that connections to upstreams come from; chosen by the system if empty"),
    FLEET_TRUSTED_PARTS(
            "fleet",
            "trusted-parts",
            Type.LIST,
            "",
            0,
            0,
            "ids of prompt parts that are never refused as crashing upstreams"),
    FLEET_HEADER_MEMORY(
            "fleet",
            "header-memory",
            Type.NUMBER,
            "12",
            1,
            4096,
            "megabytes of all heads of requests that are not small"),
    FLEET_FRAME_MEMORY(
            "fleet",
            "frame-memory",
            Type.NUMBER,
            "10",
            1,
            4096,
            "megabytes of all unfinished messages of other instances"),
    METRICS_LISTEN(
            "metrics", "listen", Type.ADDRESS, "127.0.0.1:8088", 0, 0, "IP:port, path /metrics"),
    LOG_LINES_PER_SECOND(
            "log", "lines-per-second", Type.NUMBER, "100", 0, 100000, "more are counted only");

    enum Type {
        TEXT,
        NUMBER,
        DECIMAL,
        ADDRESS,
        LIST,
        MEMBERS
    }

    private final String section;
    private final String key;
    private final Type type;
    private final String defaultValue;
    private final long min;
    private final long max;
    private final String help;

    SettingKey(
            String section,
            String key,
            Type type,
            String defaultValue,
            long min,
            long max,
            String help) {
        this.section = section;
        this.key = key;
        this.type = type;
        this.defaultValue = defaultValue;
        this.min = min;
        this.max = max;
        this.help = help;
    }

    /** Returns the section. */
    public String section() {
        return section;
    }

    /** Returns the key in its section. */
    public String key() {
        return key;
    }

    /** Returns the value of an absent setting. */
    public String defaultValue() {
        return defaultValue;
    }

    /** Returns the unit or meaning. */
    public String help() {
        return help;
    }

    /** Returns the range of a number; empty for other types. */
    public String range() {
        return type == Type.NUMBER || type == Type.DECIMAL ? min + " to " + max : "";
    }

    Type type() {
        return type;
    }

    boolean isInRange(double value) {
        return value >= min && value <= max;
    }

    static @Nullable SettingKey find(String section, String key) {
        for (SettingKey candidate : values()) {
            if (candidate.section.equals(section) && candidate.key.equals(key)) {
                return candidate;
            }
        }
        return null;
    }
}
