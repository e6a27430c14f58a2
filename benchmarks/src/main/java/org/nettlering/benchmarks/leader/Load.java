package org.nettlering.benchmarks.leader;

import java.util.Locale;

/**
 * One load of the benchmark.
 *
 * <p>Immutable and thread-safe.
 *
 * @param title what it shows, not null
 * @param hosts the number of hosts
 * @param share the load, as a multiple of that of the site with 342 hosts
 * @param stuckTasks how many tasks wait for which there is no room
 */
record Load(String title, int hosts, double share, int stuckTasks) {
    /** The hosts of the site as it is drawn up. */
    private static final int SITE_HOSTS = 342;

    /** Reviews a second: with two steps of 20 tasks, 600 starts. */
    private static final double REVIEWS_PER_SECOND = 15;

    /** Dunnings a second: with ten tasks, 100 starts. */
    private static final double DUNNINGS_PER_SECOND = 10;

    /** Watches at work, of 14 tasks each. */
    private static final double WATCHES = 39;

    /** The load that exceeds the capacity of the hosts, as a multiple of the usual one. */
    private static final double OVERLOAD = 5;

    /** Jobs that ended in the last five minutes and can still be asked for. */
    private static final double ENDED = 7_500;

    /** Returns the load of the site in Ankara on a number of hosts. */
    static Load ankara(int hosts) {
        return new Load("Ankara", hosts, 1, 0);
    }

    /** Returns the load of the site in Ankara in proportion to the hosts. */
    static Load inProportion(int hosts) {
        return new Load("in proportion", hosts, (double) hosts / SITE_HOSTS, 0);
    }

    /** Returns the load of the site in Ankara beside tasks for which there is no room. */
    static Load stuck(int hosts, int tasks) {
        return new Load(tasks + " stuck", hosts, 1, tasks);
    }

    /** Returns more load than the hosts can run, so that steps wait for capacity. */
    static Load overloaded(int hosts) {
        return new Load("overloaded", hosts, OVERLOAD * hosts / SITE_HOSTS, 0);
    }

    double reviewsPerSecond() {
        return REVIEWS_PER_SECOND * share;
    }

    double dunningsPerSecond() {
        return DUNNINGS_PER_SECOND * share;
    }

    int watches() {
        return (int) Math.round(WATCHES * share);
    }

    int ended() {
        return (int) Math.round(ENDED * share);
    }

    @Override
    public String toString() {
        return String.format(Locale.ROOT, "%s, %d hosts", title, hosts);
    }
}
