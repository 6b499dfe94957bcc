package org.bronzehill.core.model;

/** A numbered version of an adapter. */
public record AdapterVersion(String adapter, int version) {

    /**
     * Returns the name under which a holder whose lease has the fencing number {@code fencing}
     * loads this version.
     */
    public String handle(long fencing) {
        return adapter + '@' + version + '#' + fencing;
    }

    /** Parses the adapter and version out of a handle; returns null if it is not of that form. */
    public static AdapterVersion ofHandle(String handle) {
        int at = handle.lastIndexOf('@');
        int hash = handle.lastIndexOf('#');
        if (at <= 0 || hash <= at + 1) {
            return null;
        }
        try {
            return new AdapterVersion(
                    handle.substring(0, at), Integer.parseInt(handle.substring(at + 1, hash)));
        } catch (NumberFormatException e) {
            return null;
        }
    }

    /** Returns the fencing number in a handle, or -1 if it has none. */
    public static long fencingOfHandle(String handle) {
        try {
            return Long.parseLong(handle.substring(handle.lastIndexOf('#') + 1));
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    @Override
    public String toString() {
        return adapter + '@' + version;
    }
}
