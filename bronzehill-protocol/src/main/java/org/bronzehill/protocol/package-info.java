/** Messages that entry instances exchange, generated from {@code peer.proto}. */
package org.bronzehill.protocol;
