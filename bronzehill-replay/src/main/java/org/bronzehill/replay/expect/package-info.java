/** Expected outcomes of traces and their comparison with the result of a replay. */
package org.bronzehill.replay.expect;
