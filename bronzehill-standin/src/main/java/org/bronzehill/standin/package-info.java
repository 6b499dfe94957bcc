/** Program {@code bronzehill-standin}: stand-ins for the systems around an entry instance. */
package org.bronzehill.standin;
