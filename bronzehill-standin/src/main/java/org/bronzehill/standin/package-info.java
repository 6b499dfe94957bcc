/** Package standin. */
package org.bronzehill.standin;
