package org.bronzehill.core.model;

/** What runs behind an upstream address. */
public enum UpstreamKind {
    /** A model engine that serves adapters. */
    ENGINE,
    /** An application runner that offers plain services. */
    APPLICATION_RUNNER
}
