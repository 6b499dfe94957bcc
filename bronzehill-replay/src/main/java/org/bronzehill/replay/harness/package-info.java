/** Entry instances on virtual time, with fakes at their interfaces. */
package org.bronzehill.replay.harness;
