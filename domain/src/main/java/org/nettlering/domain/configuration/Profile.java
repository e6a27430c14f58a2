package org.nettlering.domain.configuration;

/**
 * A named scheduling profile: urgency, tolerated interruption and share of the power cap.
 *
 * <p>Each service and job has a profile. Immutable and thread-safe.
 *
 * @param name the name, not null
 * @param urgency from 0 (least urgent) to 100 (most urgent)
 * @param interruption the interruption that the work tolerates, not null
 * @param powerSharePercent the share of the power cap, from 0 to 100 percent
 */
public record Profile(String name, int urgency, Interruption interruption, int powerSharePercent) {
    /** The urgency of the most urgent profile. */
    public static final int MAXIMUM_URGENCY = 100;

    /**
     * Validates the values.
     *
     * @throws org.nettlering.domain.error.NettleringException {@code INVALID_ARGUMENT} if a value is out of range
     */
    public Profile {
        ArgumentChecks.requireValidName("profile", name);
        ArgumentChecks.require(
                urgency >= 0 && urgency <= MAXIMUM_URGENCY,
                "urgency " + urgency + " of profile \"" + name + "\" is not from 0 to " + MAXIMUM_URGENCY);
        ArgumentChecks.require(
                powerSharePercent >= 0 && powerSharePercent <= 100,
                "power share " + powerSharePercent + "% of profile \"" + name + "\" is not from 0 to 100");
    }
}
