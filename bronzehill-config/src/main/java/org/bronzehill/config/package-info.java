/**
 * Declarations: model, YAML reader, validation, patches, and the shards in which they are
 * published.
 */
package org.bronzehill.config;
