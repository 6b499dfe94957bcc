/** Tests that bound the growth of costs by ratios and counts. */
package org.bronzehill.bench;
