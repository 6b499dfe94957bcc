package org.bronzehill.core.model;

/** An entry instance as described by the published instance list. */
public record ListedInstance(InstanceRef ref, ListedState state) {}
