/** Load permits of the weight store, ordered over the whole region. */
package org.bronzehill.core.budget;
