/** Benchmarks of latency, throughput, allocation and message counts. */
package org.bronzehill.bench;
