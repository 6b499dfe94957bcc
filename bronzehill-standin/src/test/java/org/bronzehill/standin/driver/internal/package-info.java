/** Tests of the load driver. */
package org.bronzehill.standin.driver.internal;
