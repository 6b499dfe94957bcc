/** HTTP access to instances, audit search and output for the commands; not part of the API. */
package org.bronzehill.cli.internal;
