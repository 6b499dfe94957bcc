/**
 * At-most-once execution of once-only acts without shared storage. An act is an operation of an
 * application service that a caller requests with an idempotency key.
 */
package org.bronzehill.core.onceonly;
