package dev.jayturn.wire;

import java.io.IOException;

/** Thrown for a message, record or command of a type that this build does not know. */
public final class UnknownTypeException extends IOException {
    private static final long serialVersionUID = 1L;

    private final String typeName;

    UnknownTypeException(String typeName, IOException cause) {
        super("unknown type " + typeName, cause);
        this.typeName = typeName;
    }

    /** Returns the name of the type. */
    public String typeName() {
        return typeName;
    }
}
