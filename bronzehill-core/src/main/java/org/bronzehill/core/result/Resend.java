package org.bronzehill.core.result;

/** Advice to the caller on sending the same request again. */
public enum Resend {
    /** Sending the request again gives the same result. */
    NO,
    /** The request may be sent again immediately, through any instance. */
    NOW,
    /** The request may be sent again after the time given in {@code Retry-After}. */
    LATER,
    /** The request may be sent again only after a lookup has shown that it did not run. */
    AFTER_LOOKUP
}
