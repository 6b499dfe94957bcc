package org.bronzehill.standin.driver.internal;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;

/**
 * Free loopback ports below the range from which the system takes the ports of outgoing
 * connections; a restarted process could find its port taken by such a connection otherwise.
 */
final class Ports {

    private static final int FIRST_PORT = 20_000;
    private static final int END_PORT = 32_000;

    private int next;

    private Ports(int next) {
        this.next = next;
    }

    /** Starts the search at a place that differs between drivers running at the same time. */
    static Ports create() {
        int startPorts = (END_PORT - FIRST_PORT) / 100;
        return new Ports(FIRST_PORT + (int) (ProcessHandle.current().pid() % startPorts) * 100);
    }

    /** Returns a port that is free now and has not been returned before. */
    int allocate() throws IOException {
        for (int tries = 0; tries < END_PORT - FIRST_PORT; tries++) {
            int port = next;
            next = next + 1 >= END_PORT ? FIRST_PORT : next + 1;
            if (isFree(port)) {
                return port;
            }
        }
        throw new IOException("no free port from " + FIRST_PORT + " to " + END_PORT);
    }

    private static boolean isFree(int port) throws IOException {
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        try (ServerSocket socket = new ServerSocket(port, 1, loopback)) {
            return socket.isBound();
        } catch (BindException e) {
            return false;
        }
    }
}
