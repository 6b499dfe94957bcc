package org.bronzehill.entry.telemetry;

import java.util.logging.Handler;
import java.util.logging.Level;
import org.jboss.logmanager.LogContext;
import org.jboss.logmanager.Logger;
import org.jboss.logmanager.formatters.JsonFormatter;
import org.jboss.logmanager.formatters.PatternFormatter;
import org.jboss.logmanager.handlers.ConsoleHandler;

/** Configures logging: JSON records on standard error, audit records on standard output. */
public final class Logs {

    private static final String AUDIT = "org.bronzehill.audit";

    private Logs() {}

    /** Makes JBoss LogManager the log manager; to be called before any logger is used. */
    public static void selectManager() {
        System.setProperty("java.util.logging.manager", "org.jboss.logmanager.LogManager");
        System.setProperty("org.jboss.logging.provider", "jboss");
    }

    /** Installs the handlers and sets the log level. */
    public static void install(String level) {
        Logger root = LogContext.getLogContext().getLogger("");
        root.setLevel(Level.parse(level));
        replaceHandlers(
                root, new ConsoleHandler(ConsoleHandler.Target.SYSTEM_ERR, new JsonFormatter()));
        Logger audit = LogContext.getLogContext().getLogger(AUDIT);
        audit.setUseParentHandlers(false);
        audit.setLevel(Level.INFO);
        replaceHandlers(
                audit,
                new ConsoleHandler(ConsoleHandler.Target.SYSTEM_OUT, new PatternFormatter("%s%n")));
    }

    private static void replaceHandlers(Logger logger, Handler handler) {
        for (Handler old : logger.getHandlers()) {
            logger.removeHandler(old);
        }
        handler.setLevel(Level.ALL);
        logger.addHandler(handler);
    }
}
