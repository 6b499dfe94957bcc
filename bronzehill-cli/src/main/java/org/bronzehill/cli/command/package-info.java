/** The commands of {@code bronzehill}, one class per command. */
package org.bronzehill.cli.command;
