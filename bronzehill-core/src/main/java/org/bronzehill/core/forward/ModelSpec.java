package org.bronzehill.core.forward;

/**
 * Base model that the engines of a service run.
 *
 * @param weightsMb size of its weights in MB
 * @param adapterMb size of one of its adapters in MB
 */
public record ModelSpec(String name, double weightsMb, double adapterMb) {}
