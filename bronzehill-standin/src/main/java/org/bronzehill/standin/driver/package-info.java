/**
 * Load driver and process control of {@code ./demo}, {@code ./rehearse} and {@code ./measure-idle}.
 */
package org.bronzehill.standin.driver;
