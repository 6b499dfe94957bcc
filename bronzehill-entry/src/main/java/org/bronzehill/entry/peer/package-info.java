/** Links between entry instances: length-delimited protobuf frames over TCP. */
package org.bronzehill.entry.peer;
