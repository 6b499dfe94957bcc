package org.bronzehill.standin.driver.internal;

import java.util.concurrent.ThreadFactory;

/** Thread factories of the driver. */
final class Threads {

    private Threads() {}

    static ThreadFactory daemon(String name) {
        return work -> {
            Thread thread = new Thread(work, name);
            thread.setDaemon(true);
            return thread;
        };
    }
}
