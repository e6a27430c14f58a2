package org.nettlering.benchmarks.capacity;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.nettlering.standins.site.LocalSite;
import org.nettlering.standins.site.ManagedProcess;
import org.nettlering.standins.site.ProcessCounters;
import org.nettlering.standins.site.Waiting;

/**
 * Measures what one process of each role uses.
 *
 * <p>Not thread-safe.
 */
final class RoleMeter {
    /** One process of each role, by the name of the role. */
    private final Map<String, ManagedProcess> roles;

    /** The counters at the start of the measurement. */
    private Map<String, ProcessCounters> before = Map.of();

    /** When the measurement started. */
    private long startNanos;

    /** What each role uses in one second without work. */
    private Map<String, IdleRate> idle = Map.of();

    static RoleMeter of(LocalSite site, String leader) {
        Map<String, ManagedProcess> roles = new LinkedHashMap<>();
        roles.put("entry", site.process("entry-1"));
        roles.put("control leader", site.process(leader));
        site.controls().stream()
                .map(host -> host.id())
                .filter(id -> !id.equals(leader))
                .findFirst()
                .ifPresent(follower -> roles.put("control follower", site.process(follower)));
        return new RoleMeter(roles);
    }

    private RoleMeter(Map<String, ManagedProcess> roles) {
        this.roles = roles;
    }

    Map<String, ManagedProcess> roles() {
        return roles;
    }

    /** Takes what is used from now on as what the roles use without the work that is measured next. */
    void measureIdle(Duration duration) {
        start();
        Waiting.pause(duration);
        double seconds = secondsSinceStart();
        Map<String, IdleRate> rates = new LinkedHashMap<>();
        used().forEach((role, counters) -> rates.put(role, IdleRate.of(counters, seconds)));
        idle = rates;
    }

    /** Returns what each role uses in one second without work. */
    Map<String, UnitCost> idleSecond() {
        Map<String, UnitCost> costs = new LinkedHashMap<>();
        idle.forEach((role, rate) -> costs.put(role, UnitCost.of(rate.during(1.0), new ProcessCounters(0, 0, 0), 1)));
        return costs;
    }

    void start() {
        before = read();
        startNanos = System.nanoTime();
    }

    /** Returns what a unit has cost each role since the start, without what the role uses when idle. */
    Map<String, UnitCost> costOf(long units) {
        double seconds = secondsSinceStart();
        Map<String, UnitCost> costs = new LinkedHashMap<>();
        used().forEach((role, counters) -> {
            IdleRate rate = idle.getOrDefault(role, IdleRate.NONE);
            costs.put(role, UnitCost.of(counters, rate.during(seconds), units));
        });
        return costs;
    }

    private double secondsSinceStart() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    private Map<String, ProcessCounters> used() {
        Map<String, ProcessCounters> used = new LinkedHashMap<>();
        read().forEach((role, now) -> {
            ProcessCounters earlier = before.get(role);
            if (earlier != null) {
                used.put(role, now.since(earlier));
            }
        });
        return used;
    }

    private Map<String, ProcessCounters> read() {
        Map<String, ProcessCounters> counters = new LinkedHashMap<>();
        roles.forEach((role, process) -> counters.put(role, process.counters()));
        return counters;
    }

    /** What a process uses in a second without work. */
    private record IdleRate(double processorMillis, double readBytes, double writtenBytes) {
        static final IdleRate NONE = new IdleRate(0, 0, 0);

        static IdleRate of(ProcessCounters used, double seconds) {
            return new IdleRate(
                    used.processorMillis() / seconds, used.readBytes() / seconds, used.writtenBytes() / seconds);
        }

        ProcessCounters during(double seconds) {
            return new ProcessCounters(
                    Math.round(processorMillis * seconds),
                    Math.round(readBytes * seconds),
                    Math.round(writtenBytes * seconds));
        }
    }
}
