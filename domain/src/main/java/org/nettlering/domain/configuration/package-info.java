/**
 * The configuration that operators edit: profiles, services, teams and the power cap, under one revision number.
 *
 * <p>{@link org.nettlering.domain.configuration.SiteConfiguration} is one revision;
 * {@link org.nettlering.domain.configuration.ConfigurationState} is the replicated history of accepted changes. Placement
 * and routing read the configuration; the control process replicates it.
 */
@NullMarked
package org.nettlering.domain.configuration;

import org.jspecify.annotations.NullMarked;
