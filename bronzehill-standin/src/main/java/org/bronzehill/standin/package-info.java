/** Program {@code bronzehill-standin}: simulates the external systems of entry instances. */
package org.bronzehill.standin;
