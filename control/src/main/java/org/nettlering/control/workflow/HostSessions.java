package org.nettlering.control.workflow;

import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.workflow.HostIncarnation;
import org.nettlering.domain.workflow.host.HostSession;
import org.nettlering.domain.workflow.host.HostTimings;

/**
 * The sessions of one leadership by the id of the host, and the fencing token that they use.
 *
 * <p>A session keeps its token until a higher one is committed. A host that comes back after its session was discarded may have started
 * again under its id; it needs a higher token first, as commands with the one in use may still be under way to the earlier
 * incarnation. Not thread-safe.
 */
final class HostSessions {
    /** Commands of sessions that were discarded before so many others are not under way any more. */
    private static final int MAX_DISCARDED_HOSTS = 10_000;

    private final HostTimings timings;

    private final Map<String, HostSession> sessions = new LinkedHashMap<>();

    /** The fencing token of new sessions. */
    private long token;

    /** The ids of the hosts that need a higher fencing token. */
    private final Set<String> hostsToFence = new HashSet<>();

    /** The ids of the hosts whose sessions were discarded and that have not come back, the earliest first. */
    private final Set<String> discardedHosts = new LinkedHashSet<>();

    HostSessions(HostTimings timings, long token) {
        this.timings = timings;
        this.token = token;
    }

    /** Returns a session, or null if the host is not known. */
    @Nullable
    HostSession get(String hostId) {
        return sessions.get(hostId);
    }

    /** Returns the session of a host, a new one if the host is not known. */
    HostSession getOrCreate(HostIncarnation host, long nowNanos) {
        return sessions.computeIfAbsent(host.id(), id -> create(host, nowNanos));
    }

    private HostSession create(HostIncarnation host, long nowNanos) {
        HostSession session = HostSession.create(host, timings, token, nowNanos);
        if (discardedHosts.remove(host.id())) {
            session.requireFence();
            checkFence(session);
        }
        return session;
    }

    boolean contains(String hostId) {
        return sessions.containsKey(hostId);
    }

    Collection<HostSession> all() {
        return sessions.values();
    }

    /** Returns an unmodifiable view of the sessions by the id of the host. */
    Map<String, HostSession> byHostId() {
        return Collections.unmodifiableMap(sessions);
    }

    /** Discards a session. */
    void remove(String hostId) {
        if (sessions.remove(hostId) == null) {
            return;
        }
        discardedHosts.add(hostId);
        if (discardedHosts.size() > MAX_DISCARDED_HOSTS) {
            discardedHosts.remove(discardedHosts.iterator().next());
        }
    }

    /** Returns whether a host needs a higher fencing token than the one in use. */
    boolean needFence() {
        return !hostsToFence.isEmpty();
    }

    /** Looks whether a host needs a higher fencing token. */
    void checkFence(HostSession session) {
        if (session.needsFence()) {
            hostsToFence.add(session.host().id());
        }
    }

    /** Uses a token that was raised for the hosts that need it; no command with it was sent before. */
    void raiseToken(long raised, long nowNanos, Consumer<String> fencedHostIds) {
        token = raised;
        for (String hostId : hostsToFence) {
            HostSession session = sessions.get(hostId);
            if (session != null) {
                session.raiseToken(token, nowNanos);
                fencedHostIds.accept(hostId);
            }
        }
        hostsToFence.clear();
    }
}
