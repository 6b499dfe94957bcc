/** HTTP server, simulated state and routes of the stand-in roles. */
package org.bronzehill.standin.internal;
