/** HTTP clients of the engines, the application runners and the platform's services. */
package org.bronzehill.entry.upstream;
