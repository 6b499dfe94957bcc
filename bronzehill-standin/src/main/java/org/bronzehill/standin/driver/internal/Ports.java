package org.bronzehill.standin.driver.internal;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;

/**
 * Allocates free loopback ports below the ephemeral port range of the system. A port from that
 * range could be taken by an outgoing connection while the process that listens on it restarts.
 */
final class Ports {

    private static final int FIRST_PORT = 20_000;
    private static final int END_PORT = 32_000;

    private int next;

    private Ports(int next) {
        this.next = next;
    }

    /**
     * Derives the first port from the process id, so that concurrent drivers start at different
     * ports.
     */
    static Ports create() {
        int startPortCount = (END_PORT - FIRST_PORT) / 100;
        return new Ports(FIRST_PORT + (int) (ProcessHandle.current().pid() % startPortCount) * 100);
    }

    /** Returns a port that is currently free and has not been returned before. */
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
