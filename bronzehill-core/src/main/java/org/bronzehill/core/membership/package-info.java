/** Table of the entry instances and the probes that keep it true. */
package org.bronzehill.core.membership;
