package dev.jayturn.core.limits;

/** Kinds of peers that an instance exchanges bytes with over its network link. */
public enum LinkPeer {
    CALLER,
    UPSTREAM,
    INSTANCE
}
