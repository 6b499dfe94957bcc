package org.bronzehill.core.cluster;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Compares three rules for the times after which an unresponsive peer is probed over a new
 * connection and then suspected: fixed times, times adapted to the round-trip time, and phi accrual
 * over the gaps between acks. One instance probes one peer every 500 ms. All times are in
 * milliseconds.
 */
public final class DetectorComparison {

    private static final double PERIOD = 500;
    private static final double HOURS = 500;

    private DetectorComparison() {}

    /** Computes both delays from earlier acks; they start at the oldest unanswered probe. */
    private interface Rule {
        void onAck(double at, double roundTrip);

        /** Returns the delay from the send of an unanswered probe to the second probe. */
        double secondProbeDelay();

        /** Returns the delay from the send of an unanswered probe to the suspicion. */
        double suspicionDelay();
    }

    private static Rule fixed() {
        return new Rule() {
            @Override
            public void onAck(double at, double roundTrip) {}

            @Override
            public double secondProbeDelay() {
                return 250;
            }

            @Override
            public double suspicionDelay() {
                return 750;
            }
        };
    }

    /** Mean plus four deviations of the round-trip time, as in TCP's retransmission timer. */
    private static Rule adaptive(double floor) {
        return new Rule() {
            private double mean = 2;
            private double deviation = 1;

            @Override
            public void onAck(double at, double roundTrip) {
                deviation += (Math.abs(roundTrip - mean) - deviation) / 4;
                mean += (roundTrip - mean) / 8;
            }

            @Override
            public double secondProbeDelay() {
                return Math.max(floor, Math.min(1000, mean + 4 * deviation));
            }

            @Override
            public double suspicionDelay() {
                return 3 * secondProbeDelay();
            }
        };
    }

    /** Phi of 1 and 8 over a window of 1,000 gaps, with a lower bound for the deviation. */
    private static Rule phi(double floor) {
        return new Rule() {
            private final Deque<Double> gaps = new ArrayDeque<>();
            private double sum;
            private double squares;
            private double last = Double.NaN;
            private double lastTrip;

            @Override
            public void onAck(double at, double roundTrip) {
                if (!Double.isNaN(last)) {
                    double gap = at - last;
                    gaps.add(gap);
                    sum += gap;
                    squares += gap * gap;
                    if (gaps.size() > 1000) {
                        double old = gaps.poll();
                        sum -= old;
                        squares -= old * old;
                    }
                }
                last = at;
                lastTrip = roundTrip;
            }

            private double after(double deviations) {
                double mean = gaps.isEmpty() ? PERIOD : sum / gaps.size();
                double spread = gaps.isEmpty() ? 0 : squares / gaps.size() - mean * mean;
                double wait = mean + deviations * Math.max(floor, Math.sqrt(Math.max(0, spread)));
                return wait - PERIOD + lastTrip;
            }

            @Override
            public double secondProbeDelay() {
                return after(1.28);
            }

            @Override
            public double suspicionDelay() {
                return after(5.61);
            }
        };
    }

    public static void main(String[] args) {
        System.out.println(
                "| rule | false suspicions per 1,000 h | of these 2 s long | second probes per h |"
                        + " detection of a crash ms p50 / p99 | silent link found ms p50 / p99 |");
        run("fixed 250 / 750", fixed());
        run("adaptive, at least 50", adaptive(50));
        run("adaptive, at least 250", adaptive(250));
        run("phi 1 / 8, deviation at least 50", phi(50));
        run("phi 1 / 8, deviation at least 134", phi(134));
    }

    private static void run(String name, Rule rule) {
        SplittableRandom r = new SplittableRandom(7);
        double end = HOURS * 3_600_000;
        long suspicions = 0;
        long deaths = 0;
        long seconds = 0;
        double pauseUntil = 0;
        double nextPause = exponential(r, 180_000);
        List<Double> crash = new ArrayList<>();
        List<Double> silent = new ArrayList<>();
        for (double t = 0; t < end; t += PERIOD) {
            while (nextPause < t + PERIOD) {
                pauseUntil = Math.max(pauseUntil, nextPause + pause(r));
                nextPause += exponential(r, 180_000);
            }
            boolean lost = r.nextDouble() < 0.001;
            double trip = roundTrip(r);
            double answer = Math.max(trip, pauseUntil > t ? pauseUntil - t + trip : 0);
            double second = rule.secondProbeDelay();
            double limit = rule.suspicionDelay();
            double first = lost ? Double.MAX_VALUE : answer;
            if (first > second) {
                seconds++;
                double again = Math.max(second, pauseUntil - t) + roundTrip(r);
                first = Math.min(first, again);
            }
            if (first > limit) {
                suspicions++;
                deaths += first > limit + 2000 ? 1 : 0;
            }
            rule.onAck(t + first, first);
            if (r.nextDouble() < 0.001) {
                // A crash or a stalled connection begins between this probe and the next one.
                double wait = r.nextDouble() * PERIOD;
                crash.add(wait + rule.suspicionDelay());
                silent.add(wait + rule.secondProbeDelay() + roundTrip(r));
            }
            t = Math.max(t, Math.floor((t + first) / PERIOD) * PERIOD);
        }
        System.out.printf(
                "| %s | %.0f | %.0f | %.1f | %.0f / %.0f | %.0f / %.0f |%n",
                name,
                suspicions / HOURS * 1000,
                deaths / HOURS * 1000,
                seconds / HOURS,
                quantile(crash, 0.5),
                quantile(crash, 0.99),
                quantile(silent, 0.5),
                quantile(silent, 0.99));
    }

    private static double exponential(SplittableRandom r, double mean) {
        return -mean * Math.log(1 - r.nextDouble());
    }

    /**
     * Draws the length of a pause: the median is 120 ms, and one in a hundred exceeds 1.2 s. A
     * pause begins every 3 min on average.
     */
    private static double pause(SplittableRandom r) {
        return 120 * Math.exp(r.nextGaussian());
    }

    private static double roundTrip(SplittableRandom r) {
        return 2 * Math.exp(0.5 * r.nextGaussian());
    }

    private static double quantile(List<Double> values, double q) {
        Collections.sort(values);
        return values.get((int) Math.min(values.size() - 1, q * values.size()));
    }
}
