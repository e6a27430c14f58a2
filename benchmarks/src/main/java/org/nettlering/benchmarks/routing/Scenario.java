package org.nettlering.benchmarks.routing;

import java.time.Duration;

/** What happens during a run of the model. */
public enum Scenario {
    /** Arrivals at three quarters of the capacity. */
    UNIFORM("uniform", 0.75),
    /** A tenth of the instances takes four times as long. */
    SLOW_TENTH("slow tenth", 0.55),
    /** Arrivals rise above the capacity for two seconds. */
    WAVE("wave", 0.55),
    /** One entry is lost for good after a third of the time. */
    ENTRY_LOST("entry lost", 0.55),
    /** Arrivals at twice the capacity. */
    OVERLOAD("overload", 2.0),
    /** A tenth of the instances refuses every connection. */
    OUTAGE_OF_A_TENTH("outage of a tenth", 0.6),
    /** Every instance takes ten times as long after a third of the time. */
    ALL_SLOW("all slow", 0.5);

    /** How long the wave lasts. */
    public static final Duration WAVE_LENGTH = Duration.ofSeconds(2);

    /** Arrivals during the wave as a share of the capacity. */
    public static final double WAVE_LOAD = 1.3;

    private static final int SLOW_FACTOR = 4;
    private static final int ALL_SLOW_FACTOR = 10;
    private static final int TENTH = 10;

    /** The name in the table. */
    private final String text;

    /** Arrivals as a share of the capacity. */
    private final double load;

    Scenario(String text, double load) {
        this.text = text;
        this.load = load;
    }

    /**
     * Returns the name in the table.
     *
     * @return the name, never null
     */
    public String text() {
        return text;
    }

    /**
     * Returns the arrivals as a share of the capacity.
     *
     * @param passed the time since the start, not null
     * @param duration the length of the run, not null
     * @return the share
     */
    public double load(Duration passed, Duration duration) {
        Duration start = duration.dividedBy(3);
        boolean inWave = passed.compareTo(start) >= 0 && passed.compareTo(start.plus(WAVE_LENGTH)) < 0;
        return this == WAVE && inWave ? WAVE_LOAD : load;
    }

    /**
     * Returns how much longer than usual an instance takes.
     *
     * @param instance the number of the instance
     * @param passed the time since the start, not null
     * @param duration the length of the run, not null
     * @return the factor
     */
    public int slowness(int instance, Duration passed, Duration duration) {
        return switch (this) {
            case SLOW_TENTH -> instance % TENTH == 0 ? SLOW_FACTOR : 1;
            case ALL_SLOW -> passed.compareTo(duration.dividedBy(3)) >= 0 ? ALL_SLOW_FACTOR : 1;
            case UNIFORM, WAVE, ENTRY_LOST, OVERLOAD, OUTAGE_OF_A_TENTH -> 1;
        };
    }

    /**
     * Tells whether an instance refuses every connection.
     *
     * @param instance the number of the instance
     * @return true when it is down
     */
    public boolean isDown(int instance) {
        return this == OUTAGE_OF_A_TENTH && instance % TENTH == 0;
    }
}
