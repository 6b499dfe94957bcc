package org.bronzehill.replay.experiment;

import java.util.List;
import java.util.Locale;

/** Draws the distribution of load stalls and the batch efficiency of each policy as SVG. */
public final class Plot {

    private static final String[] COLOURS = {
        "#1b6ca8", "#d1495b", "#edae49", "#66a182", "#7d5ba6", "#555555"
    };
    private static final int WIDTH = 900;
    private static final int HEIGHT = 420;
    private static final int LEFT = 60;
    private static final int BASE = 360;
    private static final int TOP = 40;
    private static final int CURVE_WIDTH = 480;
    private static final int BARS = 620;
    private static final int POINTS = 200;
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
        text(out, LEFT, 20, r.deployment().name() + ", " + r.trace().header().title());
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
        line(out, LEFT, BASE, LEFT + CURVE_WIDTH, BASE);
        line(out, LEFT, BASE, LEFT, TOP);
        line(out, BARS, BASE, WIDTH - 20, BASE);
        for (int s = 0; s <= MAX_SECONDS; s += 2) {
            text(out, LEFT + (int) (s / MAX_SECONDS * CURVE_WIDTH), BASE + 16, s + " s");
        }
        for (int p = 0; p <= 100; p += 20) {
            text(out, LEFT - 40, y(p / 100.0) + 4, p + " %");
        }
        text(out, LEFT + 120, BASE + 40, "load stall; share of model requests at most this");
        text(out, BARS, BASE + 40, "batch efficiency");
    }

    private static int y(double share) {
        return (int) Math.round(BASE - share * (BASE - TOP));
    }

    private static void curve(StringBuilder out, PolicyResult p, String colour) {
        long[] sorted = p.sortedStalls();
        if (sorted.length == 0) {
            return;
        }
        out.append("<polyline fill=\"none\" stroke-width=\"2\" stroke=\"").append(colour);
        out.append("\" points=\"");
        for (int i = 0; i <= POINTS; i++) {
            double seconds = MAX_SECONDS * i / POINTS;
            int below = 0;
            while (below < sorted.length && sorted[below] <= seconds * 1e9) {
                below++;
            }
            out.append(
                    String.format(
                            Locale.ROOT,
                            "%.1f,%d ",
                            LEFT + (double) CURVE_WIDTH * i / POINTS,
                            y((double) below / sorted.length)));
        }
        out.append("\"/>\n");
    }

    private static void bar(
            StringBuilder out, String name, double value, int index, String colour) {
        int x = BARS + index * 44;
        out.append(
                String.format(
                        "<rect x=\"%d\" y=\"%d\" width=\"36\" height=\"%d\" fill=\"%s\"/>%n",
                        x, y(value), BASE - y(value), colour));
        text(out, x, y(value) - 4, String.format(Locale.ROOT, "%.2f", value));
        out.append(
                String.format(
                        "<text x=\"%d\" y=\"%d\" transform=\"rotate(-60 %d %d)\">%s</text>%n",
                        x + 22, BASE - 8, x + 22, BASE - 8, name));
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
