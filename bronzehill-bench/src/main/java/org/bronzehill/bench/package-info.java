/** Package bench. */
package org.bronzehill.bench;
