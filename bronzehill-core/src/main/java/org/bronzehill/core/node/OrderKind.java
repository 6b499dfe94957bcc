package org.bronzehill.core.node;

/** Management commands that a lease holder sends to an engine. */
public enum OrderKind {
    LOAD,
    EVICT,
    SET_ROLE
}
