package org.bronzehill.core.forward;

import io.vavr.control.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.bronzehill.core.membership.Membership;
import org.bronzehill.core.membership.Peer;
import org.bronzehill.core.membership.PeerStatus;
import org.bronzehill.core.model.InstanceRef;
import org.bronzehill.core.model.RendezvousHash;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.Effects;
import org.bronzehill.core.time.TimeSource;
import org.bronzehill.protocol.generated.BegunStream;
import org.bronzehill.protocol.generated.BegunStreamQuery;
import org.bronzehill.protocol.generated.BegunStreamReply;
import org.bronzehill.protocol.generated.BegunStreams;
import org.bronzehill.protocol.generated.Envelope;
import org.jboss.logging.Logger;

/**
 * Keeps the origins of streams at some instances and finds them again. An instance that passes on
 * the first event of a stream reports its origin to others before, so that a caller can resume the
 * stream anywhere although the instance may be killed right after the event.
 */
final class StreamOriginExchange {

    private static final Logger LOG = Logger.getLogger(StreamOriginExchange.class);

    /**
     * Largest fleet in which all instances keep the origins of streams, so that one that survives a
     * kill of the others knows them.
     */
    private static final int MAX_SMALL_FLEET_SIZE = 12;

    /** Number of other instances that keep the origin of a stream in a larger fleet. */
    static final int COPIES = 3;

    /**
     * Number of live instances that are asked: in a small fleet those that have run longest, else
     * those that are first in the order. Those with a copy are among the first four of the
     * remaining ones, unless instances have been started since.
     */
    static final int MAX_ASKED = 5;

    /** Time for which questions to the same instance are collected. */
    static final Duration BATCH_INTERVAL = Duration.ofMillis(4);

    /** Time after which a question is repeated to instances that have not answered. */
    static final Duration REPEAT_INTERVAL = Duration.ofMillis(60);

    /**
     * Number of times that a question is sent. An instance that is too busy to answer by then would
     * only hold up a caller that can try another one.
     */
    static final int MAX_ROUNDS = 2;

    /** Time after a start in which other instances may not be known yet. */
    private static final Duration STARTUP_TIME = Duration.ofSeconds(1);

    /** Longest time for which the origin of a stream is kept. */
    private static final Duration MAX_VALIDITY = Duration.ofMinutes(10);

    private static final Duration CLEANUP_INTERVAL = Duration.ofSeconds(5);

    private final Membership membership;
    private final TimeSource time;
    private final Scheduler scheduler;
    private final Effects out;
    private final StreamOrigins origins;
    private final Map<Long, Inquiry> inquiries = new HashMap<>();

    /** Streams to ask for, by instance. Many callers resume their streams at the same time. */
    private final Map<String, Set<Long>> questions = new HashMap<>();

    private final long startedAt;
    private long cleanedUpAt;

    /** Question for the origin of one stream. */
    private static final class Inquiry {
        private final Set<String> withoutKnowledge = new HashSet<>();
        private final Set<String> unanswered = new HashSet<>();
        private final List<Consumer<FoundOrigin>> receivers = new ArrayList<>();
        private int rounds;
    }

    StreamOriginExchange(ForwardPorts ports) {
        this.membership = ports.membership();
        this.time = ports.time();
        this.scheduler = ports.scheduler();
        this.out = ports.out();
        this.origins = new StreamOrigins(time);
        this.startedAt = time.nanoTime();
        this.cleanedUpAt = startedAt;
    }

    private static long keyOf(String firstRequest) {
        return RendezvousHash.nameHash(firstRequest);
    }

    /** Returns the other instances that may receive new work. */
    private List<InstanceRef> live() {
        return others(PeerStatus::isLive);
    }

    /**
     * Returns those that do not, but may still answer: the ones that stop, and those that are
     * suspected to have failed because they, or this instance, were held up.
     */
    private List<InstanceRef> doubtful() {
        return others(s -> !s.isLive() && s != PeerStatus.DEAD);
    }

    private List<InstanceRef> others(Predicate<PeerStatus> wanted) {
        return membership.peers().stream()
                .filter(p -> wanted.test(p.status()))
                .map(Peer::ref)
                .toList();
    }

    private List<InstanceRef> keepersOf(long stream) {
        List<InstanceRef> live = live();
        List<InstanceRef> doubtful = doubtful();
        if (live.size() + doubtful.size() < MAX_SMALL_FLEET_SIZE) {
            return concat(live, doubtful);
        }
        List<InstanceRef> first = ranked(stream, live, COPIES);
        return concat(first, ranked(stream, doubtful, COPIES - first.size()));
    }

    private List<InstanceRef> likelyToKnow(long stream) {
        List<InstanceRef> live = live();
        List<InstanceRef> doubtful = doubtful();
        if (live.size() + doubtful.size() < MAX_SMALL_FLEET_SIZE) {
            return concat(oldest(live, MAX_ASKED), oldest(doubtful, COPIES));
        }
        return concat(ranked(stream, live, MAX_ASKED), ranked(stream, doubtful, COPIES));
    }

    /** Returns those that have run longest. */
    private static List<InstanceRef> oldest(List<InstanceRef> instances, int limit) {
        return instances.stream()
                .sorted(Comparator.comparingLong(InstanceRef::incarnation))
                .limit(limit)
                .toList();
    }

    private static List<InstanceRef> concat(List<InstanceRef> first, List<InstanceRef> second) {
        return Stream.concat(first.stream(), second.stream()).toList();
    }

    /** Returns the first instances in the rendezvous order of a stream. */
    private static List<InstanceRef> ranked(long stream, List<InstanceRef> instances, int limit) {
        record Weighted(InstanceRef instance, long weight) {}
        return instances.stream()
                .map(
                        i ->
                                new Weighted(
                                        i,
                                        RendezvousHash.weightOf(
                                                stream, RendezvousHash.nameHash(i.id()))))
                .sorted(Comparator.comparingLong(Weighted::weight).reversed())
                .limit(limit)
                .map(Weighted::instance)
                .toList();
    }

    /**
     * Remembers and reports the origin of a stream whose first event is about to be passed on, or
     * that is being continued here.
     *
     * @param firstRequest identifier of the request that began the stream
     * @param validity time for which the caller may resume the stream
     */
    void onBegun(String firstRequest, StreamOrigin origin, Duration validity) {
        if (validity.isNegative()) {
            return;
        }
        long stream = keyOf(firstRequest);
        long valid = Math.min(validity.toNanos(), MAX_VALIDITY.toNanos());
        if (origins.put(stream, origin, "", time.nanoTime() + valid)) {
            BegunStreams message =
                    BegunStreams.newBuilder().addStreams(message(stream, origin, valid)).build();
            for (InstanceRef i : keepersOf(stream)) {
                send(i.id(), Envelope.newBuilder().setBegunStreams(message));
            }
        }
    }

    private static BegunStream message(long stream, StreamOrigin origin, long validNanos) {
        return BegunStream.newBuilder()
                .setStream(stream)
                .setService(origin.service())
                .setSoftwareVersion(origin.softwareVersion())
                .setValidMs((int) (validNanos / 1_000_000))
                .build();
    }

    private void send(String instance, Envelope.Builder envelope) {
        out.add(new Effect.SendPeer(instance, envelope, false));
    }

    /** Returns whether the origin of a stream is known here. */
    boolean isKnown(String firstRequest) {
        return origins.get(keyOf(firstRequest)).isDefined();
    }

    /** Finds the origin of a stream; asks other instances if it is not known here. */
    void find(String firstRequest, Consumer<FoundOrigin> receiver) {
        long stream = keyOf(firstRequest);
        Option<StreamOrigins.Entry> known = origins.get(stream);
        if (known.isDefined()) {
            receiver.accept(known.get().found());
            return;
        }
        Inquiry inquiry = inquiries.get(stream);
        if (inquiry != null) {
            inquiry.receivers.add(receiver);
            return;
        }
        inquiry = new Inquiry();
        inquiry.receivers.add(receiver);
        inquiries.put(stream, inquiry);
        ask(stream, inquiry);
    }

    private void ask(long stream, Inquiry inquiry) {
        List<InstanceRef> asked = likelyToKnow(stream);
        boolean starting = time.nanoTime() - startedAt < STARTUP_TIME.toNanos();
        inquiry.unanswered.clear();
        asked.stream()
                .map(InstanceRef::id)
                .filter(id -> !inquiry.withoutKnowledge.contains(id))
                .forEach(inquiry.unanswered::add);
        boolean mayFindOthers = starting && asked.isEmpty();
        if (!mayFindOthers && (inquiry.unanswered.isEmpty() || inquiry.rounds == MAX_ROUNDS)) {
            LOG.infof(
                    "event=stream-origin-unanswered asked=%d live=%d rounds=%d unanswered=%s",
                    asked.size(), live().size(), inquiry.rounds, inquiry.unanswered);
            end(stream, FoundOrigin.UNKNOWN);
            return;
        }
        inquiry.rounds++;
        if (questions.isEmpty() && !inquiry.unanswered.isEmpty()) {
            scheduler.after(BATCH_INTERVAL, this::sendQuestions);
        }
        inquiry.unanswered.forEach(
                id -> questions.computeIfAbsent(id, i -> new HashSet<>()).add(stream));
        scheduler.after(
                REPEAT_INTERVAL,
                () -> {
                    if (inquiries.get(stream) == inquiry) {
                        ask(stream, inquiry);
                    }
                });
    }

    private void sendQuestions() {
        questions.forEach(
                (instance, streams) -> {
                    BegunStreamQuery query =
                            BegunStreamQuery.newBuilder().addAllStreams(streams).build();
                    send(instance, Envelope.newBuilder().setBegunStreamQuery(query));
                });
        questions.clear();
    }

    private void end(long stream, FoundOrigin found) {
        Inquiry ended = inquiries.remove(stream);
        if (ended != null) {
            ended.receivers.forEach(r -> r.accept(found));
        }
    }

    /** Applies a message of another instance. */
    void onMessage(Envelope envelope) {
        String from = envelope.getFrom();
        switch (envelope.getBodyCase()) {
            case BEGUN_STREAMS ->
                    envelope.getBegunStreams()
                            .getStreamsList()
                            .forEach(s -> onReported(s, from, OriginSource.REPORTED));
            case BEGUN_STREAM_QUERY -> answer(from, envelope.getBegunStreamQuery());
            case BEGUN_STREAM_REPLY -> onReply(from, envelope.getBegunStreamReply());
            default -> throw new IllegalArgumentException(envelope.getBodyCase().name());
        }
    }

    private void onReported(BegunStream s, String from, OriginSource source) {
        StreamOrigin origin = new StreamOrigin(s.getService(), s.getSoftwareVersion());
        if (s.getValidMs() <= 0) {
            return;
        }
        long valid = Math.min(Duration.ofMillis(s.getValidMs()).toNanos(), MAX_VALIDITY.toNanos());
        origins.put(s.getStream(), origin, from, time.nanoTime() + valid);
        end(s.getStream(), FoundOrigin.of(origin, source, from));
    }

    private void answer(String from, BegunStreamQuery query) {
        BegunStreamReply.Builder reply = BegunStreamReply.newBuilder();
        for (long stream : query.getStreamsList()) {
            Option<StreamOrigins.Entry> known = origins.get(stream);
            if (known.isDefined()) {
                long left = known.get().validUntil() - time.nanoTime();
                reply.addStreams(message(stream, known.get().origin(), left));
            } else {
                reply.addUnknown(stream);
            }
        }
        send(from, Envelope.newBuilder().setBegunStreamReply(reply));
    }

    private void onReply(String from, BegunStreamReply reply) {
        reply.getStreamsList().forEach(s -> onReported(s, from, OriginSource.ASKED));
        for (long stream : reply.getUnknownList()) {
            Inquiry inquiry = inquiries.get(stream);
            if (inquiry != null) {
                inquiry.withoutKnowledge.add(from);
                inquiry.unanswered.remove(from);
                if (inquiry.unanswered.isEmpty()) {
                    end(stream, FoundOrigin.UNKNOWN);
                }
            }
        }
    }

    void onTick() {
        long now = time.nanoTime();
        if (now - cleanedUpAt >= CLEANUP_INTERVAL.toNanos()) {
            cleanedUpAt = now;
            origins.removeExpired();
        }
    }
}
