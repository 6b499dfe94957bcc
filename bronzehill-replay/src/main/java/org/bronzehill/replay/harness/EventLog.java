package org.bronzehill.replay.harness;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/**
 * Events of a run in order of time. All events are kept in memory; the run ends with its trace,
 * which limits their number.
 */
public final class EventLog {

    private final List<LogEvent> events = new ArrayList<>();

    /** Creates a log of the given events; used by tests of checkers. */
    public static EventLog of(LogEvent... events) {
        EventLog log = new EventLog();
        for (LogEvent e : events) {
            log.add(e);
        }
        return log;
    }

    /** Appends an event. */
    public void add(LogEvent event) {
        events.add(event);
    }

    /** Returns all events. */
    public List<LogEvent> events() {
        return events;
    }

    /** Returns the events of the given type. */
    public <T extends LogEvent> Stream<T> ofType(Class<T> type) {
        return events.stream().filter(type::isInstance).map(type::cast);
    }
}
