package org.nettlering.benchmarks.routing;

import java.time.Duration;
import org.HdrHistogram.Histogram;

/** What a run of the model measured. Not thread-safe. */
public final class ModelReport {
    private static final long HIGHEST_MICROS = 120_000_000L;
    private static final int DIGITS = 3;
    private static final double MICROS_PER_MILLI = 1_000.0;
    private static final double PERCENT = 100.0;

    /** Response times of answered requests, by urgency: the less urgent ones first. */
    private final Histogram[] responses = {new Histogram(HIGHEST_MICROS, DIGITS), new Histogram(HIGHEST_MICROS, DIGITS)
    };

    /** How much longer answered requests took than they ran. */
    private final Histogram delays = new Histogram(HIGHEST_MICROS, DIGITS);

    /** How long granted requests waited at their entry. */
    private final Histogram waits = new Histogram(HIGHEST_MICROS, DIGITS);

    /** How many requests arrived. */
    private long arrived;

    /** How many answers came before their deadline. */
    private long inTime;

    /** How many requests were refused. */
    private long refused;

    /** How many requests failed otherwise. */
    private long failed;

    /** How many attempts were made. */
    private long attempts;

    /** How many requests reached an instance. */
    private long reached;

    /** How many of them found every slot busy. */
    private long overAdmitted;

    ModelReport() {}

    void arrive() {
        arrived++;
    }

    void answer(Duration responseTime, Duration ran, boolean urgent) {
        delays.recordValue(Math.min(HIGHEST_MICROS, responseTime.minus(ran).toNanos() / 1_000));
        responses[urgent ? 1 : 0].recordValue(Math.min(HIGHEST_MICROS, responseTime.toNanos() / 1_000));
        if (responseTime.compareTo(ModelSettings.DEADLINE) <= 0) {
            inTime++;
        }
    }

    void waited(Duration wait) {
        waits.recordValue(Math.min(HIGHEST_MICROS, wait.toNanos() / 1_000));
    }

    void refuse() {
        refused++;
    }

    void fail() {
        failed++;
    }

    void attempt() {
        attempts++;
    }

    void reach(boolean slotFree) {
        reached++;
        if (!slotFree) {
            overAdmitted++;
        }
    }

    /**
     * Returns how many requests arrived.
     *
     * @return the count
     */
    public long arrived() {
        return arrived;
    }

    /**
     * Returns how many answers came before their deadline.
     *
     * @return the count
     */
    public long inTime() {
        return inTime;
    }

    /**
     * Returns how many requests were refused.
     *
     * @return the count
     */
    public long refused() {
        return refused;
    }

    /**
     * Returns how many requests got no answer and were not refused either.
     *
     * @return the count
     */
    public long failed() {
        return failed;
    }

    /**
     * Returns how many attempts were made for each request that arrived.
     *
     * @return the ratio
     */
    public double attemptsPerRequest() {
        return (double) attempts / Math.max(1, arrived);
    }

    /**
     * Returns the share of requests that found every slot of their instance busy.
     *
     * @return the share in percent
     */
    public double overAdmittedPercent() {
        return PERCENT * overAdmitted / Math.max(1, reached);
    }

    /**
     * Returns a percentile of the response times of all answered requests.
     *
     * @param percentile from 0 to 100
     * @return the response time in milliseconds
     */
    public double responseMillis(double percentile) {
        Histogram all = responses[0].copy();
        all.add(responses[1]);
        return all.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }

    /**
     * Returns a percentile of the response times of the urgent requests.
     *
     * @param percentile from 0 to 100
     * @return the response time in milliseconds
     */
    public double urgentResponseMillis(double percentile) {
        return responses[1].getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }

    /**
     * Returns a percentile of the delays: the response time less the time that the instance ran the request.
     *
     * @param percentile from 0 to 100
     * @return the delay in milliseconds
     */
    public double delayMillis(double percentile) {
        return delays.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }

    /**
     * Returns a percentile of the waits at the entries.
     *
     * @param percentile from 0 to 100
     * @return the wait in milliseconds
     */
    public double waitMillis(double percentile) {
        return waits.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }
}
