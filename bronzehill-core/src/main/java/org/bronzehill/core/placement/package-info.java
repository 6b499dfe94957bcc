/** Selection of an engine for a request by the instance that received it. */
package org.bronzehill.core.placement;
