/** Deployments and the seeded trace generator. */
package org.bronzehill.replay.generate;
