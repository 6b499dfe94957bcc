package org.bronzehill.core.lease;

/** Names of the resources on which leases are held. */
public final class Resources {

    private static final String ENGINE = "engine/";
    private static final String STORE = "budget/store/";

    private Resources() {}

    /** Returns the resource name of an engine. */
    public static String engine(String id) {
        return ENGINE + id;
    }

    /** Returns the resource name of the weight store's budget in a region. */
    public static String store(String region) {
        return STORE + region;
    }

    /** Returns whether the resource is an engine. */
    public static boolean isEngine(String resource) {
        return resource.startsWith(ENGINE);
    }

    /** Returns the engine id of an engine's resource name. */
    public static String engineId(String resource) {
        return resource.substring(ENGINE.length());
    }
}
