package org.nettlering.domain.configuration;

/**
 * A named bundle of intent: urgency, tolerance for interruption and share of the power cap.
 *
 * <p>Services and jobs run under a profile. Immutable and thread-safe.
 *
 * @param name the name, not null
 * @param urgency from 0 (least urgent) to 100 (most urgent)
 * @param interruption how far the work may be interrupted, not null
 * @param powerSharePercent the share of the power cap, from 0 to 100 percent
 */
public record Profile(String name, int urgency, Interruption interruption, int powerSharePercent) {
    /** The urgency of the most urgent profile. */
    public static final int MAXIMUM_URGENCY = 100;

    /**
     * Checks the values.
     *
     * @throws org.nettlering.domain.error.NettleringException {@code INVALID_ARGUMENT} if a value is out of range
     */
    public Profile {
        Names.check("profile", name);
        Names.require(
                urgency >= 0 && urgency <= MAXIMUM_URGENCY,
                "urgency " + urgency + " of profile \"" + name + "\" is not from 0 to " + MAXIMUM_URGENCY);
        Names.require(
                powerSharePercent >= 0 && powerSharePercent <= 100,
                "power share " + powerSharePercent + "% of profile \"" + name + "\" is not from 0 to 100");
    }
}
