/** HTTP server, state and routes of the stand-in roles. */
package org.bronzehill.standin.internal;
