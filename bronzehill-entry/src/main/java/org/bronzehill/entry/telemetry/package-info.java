/** Audit records, logs, metrics and spans. */
package org.bronzehill.entry.telemetry;
