/** Region-wide rate limit for loads from the weight store, enforced by permits. */
package org.bronzehill.core.budget;
