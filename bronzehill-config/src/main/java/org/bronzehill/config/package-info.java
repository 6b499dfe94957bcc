/**
 * Configuration model: YAML declarations with their validation and patches, and the content-hashed
 * shards in which a configuration is published.
 */
package org.bronzehill.config;
