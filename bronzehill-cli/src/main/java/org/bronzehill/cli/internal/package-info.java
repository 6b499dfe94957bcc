/** Reading of instances and audit records, and tables for the terminal; not part of the API. */
package org.bronzehill.cli.internal;
