package org.bronzehill.core.onceonly;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.bronzehill.core.onceonly.ActFleet.Node;

/**
 * Runs random resends, crashes, restarts, pauses, partitions, message drops and lost answers that
 * are determined by one seed.
 */
final class RandomSchedule {

    private static final Duration BUDGET = Duration.ofSeconds(2);
    private static final Duration LIST_LAG = Duration.ofSeconds(1);
    private static final int ROUNDS = 60;
    private static final int KEYS = 12;

    private final Random random;
    private final ActFleet fleet;
    private final List<String> down = new ArrayList<>();
    private final List<String> paused = new ArrayList<>();
    private final List<String> replacements = new ArrayList<>();
    private int requests;

    RandomSchedule(long seed) {
        random = new Random(seed);
        fleet = new ActFleet(9, seed);
    }

    ActFleet run() {
        fleet.run(ClaimCopier.MAX_ATTEMPT_DURATION.plusSeconds(1));
        fleet.dropRate = random.nextDouble() * 0.1;
        fleet.lostAnswerRate = random.nextDouble() * 0.3;
        fleet.maxDelayMs = 2 + random.nextInt(300);
        for (int i = 0; i < ROUNDS; i++) {
            injectFault();
            for (int j = 0; j < 3; j++) {
                submitRandomRequest();
            }
            fleet.run(Duration.ofMillis(50 + random.nextInt(800)));
        }
        fleet.heal();
        fleet.run(Duration.ofSeconds(15));
        return fleet;
    }

    private void submitRandomRequest() {
        List<Node> live =
                fleet.nodes.values().stream().filter(n -> n.running && !n.paused).toList();
        if (!live.isEmpty()) {
            Node node = live.get(random.nextInt(live.size()));
            node.submit("q" + requests++, "act-" + random.nextInt(KEYS), BUDGET);
        }
    }

    private void injectFault() {
        String victim = "entry-" + random.nextInt(9);
        switch (random.nextInt(8)) {
            case 0 -> {
                if (down.size() < 2
                        && fleet.listed.contains(victim)
                        && fleet.nodes.get(victim).running) {
                    fleet.kill(victim);
                    down.add(victim);
                }
            }
            case 1, 2 -> {
                if (!down.isEmpty()) {
                    fleet.start(down.remove(0));
                }
            }
            case 3 -> {
                fleet.nodes.get(victim).paused = true;
                paused.add(victim);
            }
            case 4 -> {
                paused.forEach(p -> fleet.nodes.get(p).paused = false);
                paused.clear();
            }
            case 5 -> fleet.partition(randomSide());
            case 6 -> replaceOne();
            default -> fleet.heal();
        }
    }

    /** Lists a new instance and removes the longest-listed one, which hands over its claims. */
    private void replaceOne() {
        if (replacements.size() >= 2 || !down.isEmpty()) {
            return;
        }
        String leaving = "entry-" + replacements.size();
        if (!fleet.nodes.get(leaving).running || fleet.nodes.get(leaving).paused) {
            return;
        }
        String joining = "new-" + replacements.size();
        replacements.add(leaving);
        fleet.start(joining);
        fleet.listed.add(joining);
        fleet.publishList(LIST_LAG);
        fleet.run(Duration.ofMillis(random.nextInt(3000)));
        fleet.listed.remove(leaving);
        fleet.publishList(LIST_LAG);
        fleet.run(Duration.ofMillis(random.nextInt(3000)));
        fleet.stop(leaving);
    }

    private Set<String> randomSide() {
        Set<String> side = new TreeSet<>();
        int size = 1 + random.nextInt(4);
        while (side.size() < size) {
            side.add("entry-" + random.nextInt(9));
        }
        return side;
    }
}
