/** HTTP endpoints for callers and operators. */
package org.bronzehill.entry.http;
