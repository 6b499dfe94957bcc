package org.bronzehill.core.model;

/** State of an instance or upstream in the published instance list. */
public enum ListedState {
    LIVE,
    LEAVING
}
