/** Load driver and process control behind {@code ./demo} and {@code ./rehearse}. */
package org.bronzehill.standin.driver;
