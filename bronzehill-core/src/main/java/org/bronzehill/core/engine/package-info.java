/** Scheduling of requests, loads and evictions on engines by the holders of their leases. */
package org.bronzehill.core.engine;
