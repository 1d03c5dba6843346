package dev.jayturn.daemon.settings;

import dev.jayturn.core.result.ResultCode;

/** Thrown when a setting is unknown, malformed, out of range or unsafe. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    private final ResultCode code;

    SettingsException(String file, int line, ResultCode code, String detail) {
        super(file + " line " + line + ": " + code.number() + " " + code.text() + ": " + detail);
        this.code = code;
    }

    /** Returns the result code. */
    public ResultCode code() {
        return code;
    }
}
