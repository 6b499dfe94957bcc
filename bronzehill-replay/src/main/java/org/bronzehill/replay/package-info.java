/** Package replay. */
package org.bronzehill.replay;
