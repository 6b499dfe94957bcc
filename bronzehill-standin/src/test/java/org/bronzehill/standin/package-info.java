/** Tests of the settings of the stand-ins. */
package org.bronzehill.standin;
