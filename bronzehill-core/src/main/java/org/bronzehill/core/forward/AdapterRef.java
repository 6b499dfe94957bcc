package org.bronzehill.core.forward;

import io.vavr.control.Option;

/**
 * Adapter of a base model, or the base model itself.
 *
 * @param adapter empty for the base model
 */
public record AdapterRef(String model, String adapter) {

    // The equals and hashCode methods that the compiler generates for a record are bootstrapped at
    // run time with invokedynamic, which slows down every start.

    @Override
    public boolean equals(Object other) {
        return this == other
                || (other instanceof AdapterRef a
                        && adapter.equals(a.adapter)
                        && model.equals(a.model));
    }

    @Override
    public int hashCode() {
        return 31 * model.hashCode() + adapter.hashCode();
    }

    /** Returns whether this is the base model without an adapter. */
    public boolean isBase() {
        return adapter.isEmpty();
    }

    /** Returns the form that identifies the adapter in messages between instances. */
    public String key() {
        return model + "/" + adapter;
    }

    /** Parses the form returned by {@link #key()}; empty if there is no slash. */
    public static Option<AdapterRef> parse(String key) {
        int slash = key.indexOf('/');
        return slash <= 0
                ? Option.none()
                : Option.of(new AdapterRef(key.substring(0, slash), key.substring(slash + 1)));
    }
}
