package org.bronzehill.standin.internal;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;

/** Recent reports of an engine, from which it serves a report of a given age. */
final class ReportHistory {

    private static final int MAX_REPORTS = 1200;

    private record TimedReport(double atMs, Map<String, Object> report) {}

    private final Deque<TimedReport> reports = new ArrayDeque<>();

    private ReportHistory() {}

    static ReportHistory create() {
        return new ReportHistory();
    }

    synchronized void add(double nowMs, Map<String, Object> report) {
        reports.addLast(new TimedReport(nowMs, report));
        if (reports.size() > MAX_REPORTS) {
            reports.removeFirst();
        }
    }

    /** Returns the newest report that is at least {@code lagMs} old, or else the oldest report. */
    synchronized Map<String, Object> asOf(double nowMs, double lagMs) {
        Map<String, Object> found = reports.getFirst().report();
        for (TimedReport s : reports) {
            if (s.atMs() > nowMs - lagMs) {
                break;
            }
            found = s.report();
        }
        return found;
    }
}
