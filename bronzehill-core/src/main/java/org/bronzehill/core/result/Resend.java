package org.bronzehill.core.result;

/** Advice to the caller on sending the same request again. */
public enum Resend {
    /** Sending it again gives the same result. */
    NO,
    /** It may be sent again at once, through any instance. */
    NOW,
    /** It may be sent again after the time given in {@code Retry-After}. */
    LATER,
    /** Only after a lookup has shown that it did not run. */
    AFTER_LOOKUP
}
