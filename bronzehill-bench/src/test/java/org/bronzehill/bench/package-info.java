/** Bounds as ratios and counts. */
package org.bronzehill.bench;
