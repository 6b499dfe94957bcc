package org.bronzehill.replay.experiment;

import java.util.List;
import java.util.Locale;

/** Plots the distribution of load stalls and the batch efficiency of each policy as SVG. */
public final class Plot {

    private static final String[] COLOURS = {
        "#1b6ca8", "#d1495b", "#edae49", "#66a182", "#7d5ba6", "#555555"
    };
    private static final int WIDTH = 900;
    private static final int HEIGHT = 420;
    private static final int CURVE_LEFT = 60;
    private static final int AXIS_Y = 360;
    private static final int TOP_Y = 40;
    private static final int CURVE_WIDTH = 480;
    private static final int BARS_LEFT = 620;
    private static final int CURVE_POINTS = 200;
    private static final double MAX_SECONDS = 10;

    private Plot() {}

    /** Returns the SVG document. */
    public static String svg(Experiment.Result r) {
        StringBuilder out = new StringBuilder();
        out.append(
                String.format(
                        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\""
                                + " font-family=\"sans-serif\" font-size=\"12\">%n"
                                + "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>%n",
                        WIDTH, HEIGHT));
        text(out, CURVE_LEFT, 20, r.deployment().name() + ", " + r.trace().header().title());
        axes(out);
        List<PolicyResult> policies = r.policies();
        for (int i = 0; i < policies.size(); i++) {
            String colour = COLOURS[i % COLOURS.length];
            curve(out, policies.get(i), colour);
            bar(out, policies.get(i).name(), policies.get(i).batchEfficiency(), i, colour);
        }
        bar(out, "bound", r.batchBound(), policies.size(), "#bbbbbb");
        return out.append("</svg>\n").toString();
    }

    private static void axes(StringBuilder out) {
        line(out, CURVE_LEFT, AXIS_Y, CURVE_LEFT + CURVE_WIDTH, AXIS_Y);
        line(out, CURVE_LEFT, AXIS_Y, CURVE_LEFT, TOP_Y);
        line(out, BARS_LEFT, AXIS_Y, WIDTH - 20, AXIS_Y);
        for (int s = 0; s <= MAX_SECONDS; s += 2) {
            text(out, CURVE_LEFT + (int) (s / MAX_SECONDS * CURVE_WIDTH), AXIS_Y + 16, s + " s");
        }
        for (int p = 0; p <= 100; p += 20) {
            text(out, CURVE_LEFT - 40, y(p / 100.0) + 4, p + " %");
        }
        text(
                out,
                CURVE_LEFT + 120,
                AXIS_Y + 40,
                "load stall; share of model requests at most this");
        text(out, BARS_LEFT, AXIS_Y + 40, "batch efficiency");
    }

    private static int y(double share) {
        return (int) Math.round(AXIS_Y - share * (AXIS_Y - TOP_Y));
    }

    private static void curve(StringBuilder out, PolicyResult p, String colour) {
        long[] sorted = p.sortedStalls();
        if (sorted.length == 0) {
            return;
        }
        out.append("<polyline fill=\"none\" stroke-width=\"2\" stroke=\"").append(colour);
        out.append("\" points=\"");
        for (int i = 0; i <= CURVE_POINTS; i++) {
            double seconds = MAX_SECONDS * i / CURVE_POINTS;
            int below = 0;
            while (below < sorted.length && sorted[below] <= seconds * 1e9) {
                below++;
            }
            out.append(
                    String.format(
                            Locale.ROOT,
                            "%.1f,%d ",
                            CURVE_LEFT + (double) CURVE_WIDTH * i / CURVE_POINTS,
                            y((double) below / sorted.length)));
        }
        out.append("\"/>\n");
    }

    private static void bar(
            StringBuilder out, String name, double value, int index, String colour) {
        int x = BARS_LEFT + index * 44;
        out.append(
                String.format(
                        "<rect x=\"%d\" y=\"%d\" width=\"36\" height=\"%d\" fill=\"%s\"/>%n",
                        x, y(value), AXIS_Y - y(value), colour));
        text(out, x, y(value) - 4, String.format(Locale.ROOT, "%.2f", value));
        out.append(
                String.format(
                        "<text x=\"%d\" y=\"%d\" transform=\"rotate(-60 %d %d)\">%s</text>%n",
                        x + 22, AXIS_Y - 8, x + 22, AXIS_Y - 8, name));
    }

    private static void line(StringBuilder out, int x1, int y1, int x2, int y2) {
        out.append(
                String.format(
                        "<line x1=\"%d\" y1=\"%d\" x2=\"%d\" y2=\"%d\" stroke=\"black\"/>%n",
                        x1, y1, x2, y2));
    }

    private static void text(StringBuilder out, int x, int y, String text) {
        out.append(String.format("<text x=\"%d\" y=\"%d\">%s</text>%n", x, y, text));
    }
}
