/** One class for each command of {@code bronzehill}. */
package org.bronzehill.cli.command;
