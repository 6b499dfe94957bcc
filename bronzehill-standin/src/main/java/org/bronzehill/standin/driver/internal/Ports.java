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

    private static final int FIRST = 20_000;
    private static final int LAST = 32_000;

    private int next;

    private Ports(int next) {
        this.next = next;
    }

    /** Starts the search at a place that differs between drivers running at the same time. */
    static Ports create() {
        int places = (LAST - FIRST) / 100;
        return new Ports(FIRST + (int) (ProcessHandle.current().pid() % places) * 100);
    }

    /** Returns a port that is free now and has not been returned before. */
    int take() throws IOException {
        for (int tries = 0; tries < LAST - FIRST; tries++) {
            int port = next;
            next = next + 1 >= LAST ? FIRST : next + 1;
            if (isFree(port)) {
                return port;
            }
        }
        throw new IOException("no free port from " + FIRST + " to " + LAST);
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
