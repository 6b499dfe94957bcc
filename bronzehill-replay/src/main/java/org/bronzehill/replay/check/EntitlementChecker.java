package org.bronzehill.replay.check;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.bronzehill.config.AdapterSpec;
import org.bronzehill.config.Configuration;
import org.bronzehill.config.ImageCodec;
import org.bronzehill.config.TeamSpec;
import org.bronzehill.core.model.AdapterVersion;
import org.bronzehill.replay.generate.Deployment;
import org.bronzehill.replay.harness.LogEvent;
import org.bronzehill.replay.harness.RunResult;

/**
 * P1: a request runs only on an adapter version to which its caller was entitled under a
 * configuration number that was in force at the holder at some time between the arrival of the
 * request and its run. A successful answer names a number under which the caller was entitled.
 */
public final class EntitlementChecker implements Checker {

    /** Configuration number and the time at which an instance put it in force. */
    private record ConfigurationChange(long at, long number) {}

    @Override
    public List<Violation> check(RunResult run) {
        List<Violation> found = new ArrayList<>();
        Map<String, LogEvent.RequestArrived> arrived = new HashMap<>();
        Map<String, List<ConfigurationChange>> configurationChanges = new HashMap<>();
        Map<String, String> holders = new HashMap<>();
        for (LogEvent e : run.log().events()) {
            if (e instanceof LogEvent.RequestArrived a) {
                arrived.put(a.request(), a);
            } else if (e instanceof LogEvent.ConfigurationApplied f) {
                configurationChanges
                        .computeIfAbsent(f.entry(), k -> new ArrayList<>())
                        .add(new ConfigurationChange(f.at(), f.number()));
            } else if (e instanceof LogEvent.AttemptAccepted a) {
                holders.put(a.request() + ' ' + a.attempt() + ' ' + a.engine(), a.holder());
            } else if (e instanceof LogEvent.RunStarted r) {
                String holder = holders.get(r.request() + ' ' + r.attempt() + ' ' + r.engine());
                LogEvent.RequestArrived a = arrived.get(r.request());
                TreeSet<Long> numbers =
                        numbersInForceSince(configurationChanges.get(holder), a.at());
                checkRun(run, r, a, numbers, found);
            } else if (e instanceof LogEvent.RequestAnswered a && a.code().isSuccess()) {
                checkAnswer(run, a, arrived.get(a.request()), found);
            }
        }
        return found;
    }

    /** Returns the number in force at {@code from} and all numbers put in force since. */
    private static TreeSet<Long> numbersInForceSince(List<ConfigurationChange> changes, long from) {
        TreeSet<Long> numbers = new TreeSet<>();
        long before = 0;
        for (ConfigurationChange c : changes == null ? List.<ConfigurationChange>of() : changes) {
            if (c.at() <= from) {
                before = c.number();
            } else {
                numbers.add(c.number());
            }
        }
        numbers.add(before);
        return numbers;
    }

    private static void checkRun(
            RunResult run,
            LogEvent.RunStarted r,
            LogEvent.RequestArrived a,
            TreeSet<Long> numbers,
            List<Violation> found) {
        AdapterVersion ran = AdapterVersion.ofHandle(r.handle());
        boolean allowed =
                numbers.stream().anyMatch(n -> isEntitled(run.configurations().get(n), a, ran));
        if (!allowed) {
            found.add(
                    new Violation(
                            "P1",
                            r.at(),
                            r.request()
                                    + " of caller "
                                    + a.caller()
                                    + " for "
                                    + a.adapter()
                                    + " ran on "
                                    + r.handle()
                                    + " of "
                                    + r.engine()
                                    + " under configuration numbers "
                                    + numbers));
        }
    }

    private static void checkAnswer(
            RunResult run,
            LogEvent.RequestAnswered a,
            LogEvent.RequestArrived arrived,
            List<Violation> found) {
        if (arrived == null || arrived.adapter().isEmpty()) {
            return;
        }
        AdapterVersion namedAdapter =
                new AdapterVersion(a.provenance().adapter(), a.provenance().version());
        long number = a.provenance().configurationNumber();
        if (!isEntitled(run.configurations().get(number), arrived, namedAdapter)) {
            found.add(
                    new Violation(
                            "P1",
                            a.at(),
                            a.request()
                                    + " names "
                                    + namedAdapter
                                    + " under configuration number "
                                    + number));
        }
    }

    private static boolean isEntitled(
            Configuration c, LogEvent.RequestArrived a, AdapterVersion version) {
        if (c == null || version == null || !version.adapter().equals(a.adapter())) {
            return false;
        }
        AdapterSpec spec = c.adapter(a.adapter()).getOrNull();
        String hash =
                ImageCodec.hash(Deployment.tokenOf(a.caller()).getBytes(StandardCharsets.UTF_8));
        TeamSpec team = c.caller(hash).map(Configuration.Caller::team).getOrNull();
        return spec != null
                && team != null
                && spec.versionFor(a.kind()) == version.version()
                && team.groups().contains(spec.group())
                && team.kinds().contains(a.kind());
    }
}
