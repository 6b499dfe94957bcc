/** Identifiers and values shared by the other packages of the core. */
package org.bronzehill.core.model;
