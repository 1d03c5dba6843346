package dev.jayturn.core.configuration;

import dev.jayturn.core.result.ResultCode;

/** A configuration that is refused, with the place at fault. */
public final class ConfigurationException extends Exception {
    private static final long serialVersionUID = 1L;

    private final ResultCode code;

    public ConfigurationException(ResultCode code, String place) {
        super(code.number() + " " + code.text() + ": " + place);
        this.code = code;
    }

    /** Returns the numbered code. */
    public ResultCode code() {
        return code;
    }
}
