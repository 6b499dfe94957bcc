package org.bronzehill.core.onceonly;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.bronzehill.core.node.Effect;
import org.bronzehill.core.node.Effects;
import org.bronzehill.core.time.TimeSource;
import org.bronzehill.protocol.generated.ActClaimRecord;
import org.bronzehill.protocol.generated.ActCopyRequest;
import org.bronzehill.protocol.generated.ActHandover;
import org.bronzehill.protocol.generated.Envelope;

/**
 * Tracks for which keys this instance knows all earlier claims. After a start and after each change
 * of the published instances, it copies claims from the other instances. It abstains from votes on
 * a key until enough of the key's former witnesses have sent their claims.
 */
final class ClaimCopier {

    /**
     * Maximum time until an attempt to execute an act expires. If so many former witnesses have
     * restarted that the claims of a majority cannot be copied, a witness votes again after this
     * time, because earlier attempts have expired by then.
     */
    static final Duration MAX_ATTEMPT_DURATION = Duration.ofSeconds(10);

    private static final Duration RETRY_INTERVAL = Duration.ofMillis(300);
    private static final int MAX_CLAIMS_PER_MESSAGE = 500;
    private static final int MAX_FORMER_LISTS = 16;

    private final ClusterView peers;
    private final ClaimTable claims;
    private final TimeSource time;
    private final long startNanos;
    private final Set<String> copiedFrom = new HashSet<>();
    private final Set<String> handoverSenders = new HashSet<>();
    private List<String> currentList = List.of();

    /**
     * Instance lists under which earlier claims may have been made, oldest first. Before a vote,
     * the claims made under each of them must be known. The first entry is the last list under
     * which this instance knew all claims. If there has been none since the start, the first entry
     * is the list that this instance read first, which may still be in use.
     */
    private final List<List<String>> formerLists = new ArrayList<>();

    /** Whether this instance knew all claims under the first of the former lists. */
    private boolean knewClaimsOfFirstList;

    private long listChangedNanos;
    private long nextRequestNanos;
    private long sequence;
    private long highestListVersion;

    ClaimCopier(ClusterView peers, ClaimTable claims, TimeSource time) {
        this.peers = peers;
        this.claims = claims;
        this.time = time;
        this.startNanos = time.nanoTime();
        this.listChangedNanos = startNanos;
    }

    long highestListVersion() {
        return highestListVersion;
    }

    /**
     * Records a list version that a peer has read. Claims under older versions are not accepted
     * from then on.
     */
    void observeListVersion(long version) {
        highestListVersion = Math.max(highestListVersion, version);
    }

    /**
     * Returns whether this instance is a witness of the key and either knows every claim that a
     * majority has accepted for it, or has read the current list so long ago that all attempts
     * under earlier lists have expired.
     */
    boolean mayVote(String key) {
        if (currentList.isEmpty()
                || !WitnessSets.witnesses(key, currentList).contains(peers.selfId())) {
            return false;
        }
        return flightTimePassed()
                || IntStream.range(0, formerLists.size()).allMatch(i -> knowsClaims(key, i));
    }

    private boolean knowsClaims(String key, int formerIndex) {
        List<String> witnesses = WitnessSets.witnesses(key, formerLists.get(formerIndex));
        boolean self = witnesses.contains(peers.selfId());
        if (formerIndex == 0 && knewClaimsOfFirstList && self) {
            return true;
        }
        long copied =
                witnesses.stream()
                        .filter(w -> copiedFrom.contains(w) || handoverSenders.contains(w))
                        .count();
        int n = witnesses.size();
        int requiredForOverlap = n - WitnessSets.quorum(n) + 1;
        // An overlap with every majority of these witnesses is not enough. This instance may have
        // missed a version of the list between two that it read, and under that version one of the
        // witnesses may have been another instance. Its majorities may share one witness less with
        // this list. Therefore the claims of all other witnesses but one are required.
        int others = self ? n - 1 : n;
        return copied >= Math.max(requiredForOverlap, others - 1);
    }

    private boolean flightTimePassed() {
        return Duration.ofNanos(time.nanoTime() - listChangedNanos).compareTo(MAX_ATTEMPT_DURATION)
                >= 0;
    }

    void onTick(Effects out) {
        List<String> listed = peers.listedInstances().stream().sorted().toList();
        observeListVersion(peers.listVersion());
        if (!listed.isEmpty() && !listed.equals(currentList)) {
            onListChange(listed);
        }
        if (currentList.isEmpty() || isCopyComplete() || time.nanoTime() < nextRequestNanos) {
            return;
        }
        nextRequestNanos = time.nanoTime() + RETRY_INTERVAL.toNanos();
        sequence++;
        for (String peer : copySources()) {
            if (!copiedFrom.contains(peer)) {
                Envelope.Builder request =
                        Envelope.newBuilder()
                                .setActCopyRequest(
                                        ActCopyRequest.newBuilder().setSequence(sequence));
                out.add(new Effect.SendPeer(peer, request, false));
            }
        }
    }

    private void onListChange(List<String> listed) {
        if (currentList.isEmpty()) {
            formerLists.add(List.copyOf(listed));
        } else if (isCopyComplete()) {
            knewClaimsOfFirstList = true;
            formerLists.clear();
            formerLists.add(currentList);
        } else {
            formerLists.add(currentList);
        }
        if (formerLists.size() > MAX_FORMER_LISTS) {
            formerLists.remove(1);
        }
        currentList = List.copyOf(listed);
        copiedFrom.clear();
        listChangedNanos = time.nanoTime();
        nextRequestNanos = 0;
    }

    private boolean isCopyComplete() {
        return flightTimePassed() || copiedFrom.containsAll(copySources());
    }

    private Set<String> copySources() {
        Set<String> sources = new LinkedHashSet<>();
        formerLists.forEach(sources::addAll);
        sources.remove(peers.selfId());
        return sources;
    }

    /** Sends the requesting peer the claims for which it is a witness. */
    void onCopyRequest(Envelope envelope, Effects out) {
        observeListVersion(envelope.getListVersion());
        String requester = envelope.getFrom();
        send(requester, envelope.getActCopyRequest().getSequence(), claimsFor(requester), out);
    }

    /**
     * Sends each other instance the claims for which that instance will be a witness after this
     * instance has left.
     */
    void handOver(Effects out) {
        List<String> remaining =
                peers.listedInstances().stream().filter(i -> !i.equals(peers.selfId())).toList();
        for (String peer : remaining) {
            List<ActClaimRecord> needed =
                    claims.export().stream()
                            .filter(
                                    c ->
                                            WitnessSets.witnesses(c.getKey(), remaining)
                                                    .contains(peer))
                            .toList();
            send(peer, 0, needed, out);
        }
    }

    private List<ActClaimRecord> claimsFor(String requester) {
        List<String> listed = peers.listedInstances();
        List<String> withRequester = new ArrayList<>(listed);
        if (!withRequester.contains(requester)) {
            withRequester.add(requester);
        }
        return claims.export().stream()
                .filter(c -> WitnessSets.witnesses(c.getKey(), withRequester).contains(requester))
                .toList();
    }

    private void send(String peer, long copySequence, List<ActClaimRecord> records, Effects out) {
        int from = 0;
        do {
            int to = Math.min(records.size(), from + MAX_CLAIMS_PER_MESSAGE);
            ActHandover.Builder handover =
                    ActHandover.newBuilder()
                            .addAllClaims(records.subList(from, to))
                            .setMore(to < records.size())
                            .setSequence(copySequence)
                            .setAbstaining(!hasCopiedEnoughClaims());
            out.add(
                    new Effect.SendPeer(
                            peer, Envelope.newBuilder().setActHandover(handover), false));
            from = to;
        } while (from < records.size());
    }

    /**
     * Returns whether a peer that copies the claims of this instance may count it among the former
     * witnesses whose claims it knows. This holds if this instance has copied enough claims itself,
     * or if all attempts made before its start have expired.
     */
    private boolean hasCopiedEnoughClaims() {
        Duration sinceStart = Duration.ofNanos(time.nanoTime() - startNanos);
        if (knewClaimsOfFirstList || sinceStart.compareTo(MAX_ATTEMPT_DURATION) >= 0) {
            return true;
        }
        int others = copySources().size();
        return others > 1 && copiedFrom.size() >= others - 1;
    }

    /** Merges the claims sent by a peer. An abstaining peer does not count towards a majority. */
    void onHandover(Envelope envelope) {
        ActHandover handover = envelope.getActHandover();
        for (ActClaimRecord c : handover.getClaimsList()) {
            claims.merge(c);
        }
        if (handover.getMore() || handover.getAbstaining()) {
            return;
        }
        if (handover.getSequence() == 0) {
            handoverSenders.add(envelope.getFrom());
        } else {
            copiedFrom.add(envelope.getFrom());
        }
    }
}
