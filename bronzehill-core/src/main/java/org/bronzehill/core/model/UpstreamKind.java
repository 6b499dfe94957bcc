package org.bronzehill.core.model;

/** Kind of service that an upstream provides. */
public enum UpstreamKind {
    /** A model engine that serves adapters. */
    ENGINE,
    /** An application runner that offers application services. */
    APPLICATION_RUNNER
}
