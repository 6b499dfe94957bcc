/** HTTP clients to engines, application runners and the platform's services. */
package org.bronzehill.entry.upstream;
