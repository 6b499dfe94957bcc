/** Tests of the stand-in roles over HTTP. */
package org.bronzehill.standin.internal;
