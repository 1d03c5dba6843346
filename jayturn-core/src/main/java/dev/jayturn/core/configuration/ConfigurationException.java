package dev.jayturn.core.configuration;

import dev.jayturn.core.result.ResultCode;

/** Thrown for a rejected configuration; the message names the location of the problem. */
public final class ConfigurationException extends Exception {
    private static final long serialVersionUID = 1L;

    private final ResultCode code;

    public ConfigurationException(ResultCode code, String location) {
        super(code.number() + " " + code.text() + ": " + location);
        this.code = code;
    }

    /** Returns the numbered code. */
    public ResultCode code() {
        return code;
    }
}
