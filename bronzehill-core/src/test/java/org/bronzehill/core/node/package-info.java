/** Tests of the composed decision core on virtual time. */
package org.bronzehill.core.node;
