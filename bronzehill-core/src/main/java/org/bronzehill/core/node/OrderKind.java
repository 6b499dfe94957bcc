package org.bronzehill.core.node;

/** Orders that a lease holder gives to an engine. */
public enum OrderKind {
    LOAD,
    EVICT,
    SET_ROLE
}
