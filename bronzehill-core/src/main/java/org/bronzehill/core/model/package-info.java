/** Identifiers and values shared by all decision components. */
package org.bronzehill.core.model;
