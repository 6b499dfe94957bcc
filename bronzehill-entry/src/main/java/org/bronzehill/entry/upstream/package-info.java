/**
 * HTTP clients of the engines, the application runners, and the platform's configuration service
 * and instance list.
 */
package org.bronzehill.entry.upstream;
