/** Numbered result codes returned to callers and operators. */
package org.bronzehill.core.result;
