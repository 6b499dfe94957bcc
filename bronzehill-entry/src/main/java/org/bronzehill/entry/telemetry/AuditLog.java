package org.bronzehill.entry.telemetry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.bronzehill.core.model.Provenance;
import org.bronzehill.entry.relay.RequestOutcome;
import org.jboss.logging.Logger;
import org.jctools.queues.MpscArrayQueue;

/**
 * Writes one JSON line for each ended request on a background thread. Records are queued in a
 * bounded ring buffer. New requests are refused while {@link #isBacklogged}, so that the records of
 * the requests in flight can still be queued.
 */
public final class AuditLog implements AutoCloseable {

    private static final Logger AUDIT = Logger.getLogger("org.bronzehill.audit");
    private static final Logger LOG = Logger.getLogger(AuditLog.class);

    /**
     * Longest wait of the idle thread. Producers wake the thread, but {@link #close} does not, so
     * this is also the longest time until the thread notices that the log has been closed.
     */
    private static final long MAX_IDLE_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final ObjectMapper mapper = new ObjectMapper();
    private final MpscArrayQueue<AuditRecord> ring;
    private final String instanceId;
    private final Thread thread = new Thread(this::run, "audit");
    private volatile boolean stopped;
    private volatile boolean parked;

    private record AuditRecord(Instant time, RequestOutcome outcome, long durationNanos) {}

    private AuditLog(String instanceId, int capacity) {
        this.instanceId = instanceId;
        this.ring = new MpscArrayQueue<>(capacity);
        thread.setDaemon(true);
    }

    /** Creates a log and starts its thread. */
    public static AuditLog start(String instanceId, int capacity) {
        AuditLog log = new AuditLog(instanceId, capacity);
        log.thread.start();
        return log;
    }

    /** Queues the record of an ended request. */
    public void record(RequestOutcome outcome, long durationNanos) {
        if (!ring.offer(new AuditRecord(Instant.now(), outcome, durationNanos))) {
            LOG.errorf(
                    "audit record of request %s lost: ring buffer full",
                    outcome.request().requestId());
        }
        if (parked) {
            LockSupport.unpark(thread);
        }
    }

    /** Returns whether the ring buffer is more than half full; new requests are then refused. */
    public boolean isBacklogged() {
        return ring.size() > ring.capacity() / 2;
    }

    private void run() {
        while (!stopped || !ring.isEmpty()) {
            AuditRecord next = ring.poll();
            if (next == null) {
                park();
            } else {
                AUDIT.info(json(next));
            }
        }
    }

    /** Sets the flag before it checks the ring buffer again, so that no wake-up is missed. */
    private void park() {
        parked = true;
        if (ring.isEmpty() && !stopped) {
            LockSupport.parkNanos(this, MAX_IDLE_WAIT_NANOS);
        }
        parked = false;
    }

    private String json(AuditRecord e) {
        RequestOutcome o = e.outcome();
        Provenance p = o.provenance();
        ObjectNode node = mapper.createObjectNode();
        node.put("time", e.time().toString());
        node.put("requestId", o.request().requestId());
        node.put("kind", o.request().kind());
        node.put("adapter", p == null ? o.request().adapter() : p.adapter());
        node.put("adapterVersion", p == null ? 0 : p.version());
        node.put("configuration", p == null ? 0 : p.configurationNumber());
        node.put("upstream", p == null ? "" : p.upstream());
        node.put("entry", instanceId);
        node.put("result", o.code().number());
        node.put("resultName", o.code().name());
        node.put("attempt", o.attempt());
        node.put("chunks", o.chunks());
        node.put("loadStallMs", o.loadStall() == null ? 0 : o.loadStall().toMillis());
        node.put("durationMs", TimeUnit.NANOSECONDS.toMillis(e.durationNanos()));
        try {
            return mapper.writeValueAsString(node);
        } catch (JsonProcessingException ex) {
            throw new IllegalStateException("a JSON tree is always serializable", ex);
        }
    }

    @Override
    public void close() {
        stopped = true;
        try {
            thread.join(TimeUnit.SECONDS.toMillis(2));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
