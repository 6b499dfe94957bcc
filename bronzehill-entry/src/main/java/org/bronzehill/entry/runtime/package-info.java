/** The core thread, its ring buffer and the execution of effects. */
package org.bronzehill.entry.runtime;
