package org.nettlering.domain.placement;

/**
 * What operators want for the tasks of a profile.
 *
 * @param name the profile's name, not null
 * @param urgency from 0 (least urgent) to 100 (most urgent)
 * @param interruption how far its tasks may be disturbed, not null
 * @param powerSharePercent its share of the power budget, from 0 to 100
 */
public record ProfileIntent(String name, int urgency, Interruption interruption, int powerSharePercent) {}
