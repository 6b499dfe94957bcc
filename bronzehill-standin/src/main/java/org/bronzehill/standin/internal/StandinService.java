package org.bronzehill.standin.internal;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Base class of all roles: serves the control routes and applies the common faults. */
public abstract class StandinService implements Consumer<Exchange>, AutoCloseable {

    /** Exit status of a process that crashed on a request with the crash marker. */
    public static final int CRASH_STATUS = 70;

    protected final Ledger ledger = Ledger.create();
    protected final Faults faults = Faults.create();
    protected final Timer timer = Timer.create();
    private final String role;
    private final String id;
    private volatile boolean marked;
    private HttpServer server;
    private Runnable crashAction = () -> Runtime.getRuntime().halt(CRASH_STATUS);

    protected StandinService(String role, String id) {
        this.role = role;
        this.id = id;
    }

    /** Starts to listen; port 0 selects a free port. */
    public final HttpServer listen(String host, int port) throws InterruptedException {
        server = HttpServer.start(host, port, this);
        return server;
    }

    /** Answers a request to a path outside the control routes. */
    protected abstract void handle(Exchange exchange);

    /** Adds the state of the role to the answer of {@code GET /standin/ledger}. */
    protected void describe(Map<String, Object> view) {}

    /** Answers a control request of the role; returns whether it was handled. */
    protected boolean handleRoleControl(Exchange exchange) {
        return false;
    }

    public final Ledger ledger() {
        return ledger;
    }

    public final Faults faults() {
        return faults;
    }

    public final String id() {
        return id;
    }

    @Override
    public final void accept(Exchange exchange) {
        if (exchange.path().startsWith("/standin/")) {
            if (!handleControl(exchange)) {
                exchange.error(404, "unknown_path");
            }
        } else if (faults.isOn("refuse")) {
            ledger.count("requests", "refused");
            exchange.error(503, "refused");
        } else if (faults.number("slowMs") > 0) {
            timer.after(faults.number("slowMs"), () -> handle(exchange));
        } else {
            handle(exchange);
        }
    }

    private boolean handleControl(Exchange exchange) {
        if (exchange.matches("GET", "/standin/faults")) {
            exchange.respond(200, faults.view());
        } else if (exchange.matches("PUT", "/standin/faults")) {
            setFaults(exchange);
        } else if (exchange.matches("POST", "/standin/mark")) {
            marked = true;
            exchange.respond(200, Map.of("marked", true));
        } else if (exchange.matches("GET", "/standin/ledger")) {
            Map<String, Object> view = new LinkedHashMap<>();
            view.put("role", role);
            view.put("id", id);
            view.put("marked", marked);
            describe(view);
            view.putAll(ledger.view());
            exchange.respond(200, view);
        } else {
            return handleRoleControl(exchange);
        }
        return true;
    }

    /**
     * Counts work that starts after {@code POST /standin/mark}. The driver sends the mark once the
     * bound for a leaving upstream has passed, after which no work may start.
     */
    protected final void countIfMarked(String work) {
        if (marked) {
            ledger.count("afterMark", work);
        }
    }

    private void setFaults(Exchange exchange) {
        List<String> errors = faults.merge(exchange.json());
        if (!errors.isEmpty()) {
            exchange.respond(400, Map.of("errors", errors));
            return;
        }
        // This fault takes effect once: it silences only the connections that are open now.
        if (faults.number("silentConnections") != 0 && server != null) {
            ledger.add("connections", "silenced", server.silenceAllBut(exchange));
            faults.set("silentConnections", 0);
        }
        exchange.respond(200, faults.view());
    }

    /** Halts the process without clean-up to simulate a crash. */
    protected final void crash() {
        crashAction.run();
    }

    final void onCrash(Runnable action) {
        crashAction = action;
    }

    @Override
    public void close() {
        timer.close();
        if (server != null) {
            server.close();
        }
    }
}
