package org.bronzehill.core.model;

/**
 * Origin of an answer: the adapter version, configuration, upstream and entry instance involved.
 *
 * @param adapter empty for an application service
 * @param version 0 for an application service or a request that was refused before it was resolved
 * @param configurationNumber number under which the adapter version was resolved
 * @param upstream empty if no upstream was involved
 */
public record Provenance(
        String adapter, int version, long configurationNumber, String upstream, String entry) {}
