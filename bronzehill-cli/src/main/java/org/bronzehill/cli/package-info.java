/** Command line for operators: program {@code bronzehill}. */
package org.bronzehill.cli;
