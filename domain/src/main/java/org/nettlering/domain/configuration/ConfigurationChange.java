package org.nettlering.domain.configuration;

/**
 * A change to the configuration.
 *
 * <p>A put replaces any object of the same kind and name. Immutable and thread-safe.
 */
public sealed interface ConfigurationChange {
    /**
     * Returns whether the change affects a service.
     *
     * @param service the name of the service, not null
     * @return true if the change puts, moves or removes it
     */
    default boolean isAboutService(String service) {
        return switch (this) {
            case PutService(ServiceDefinition definition) -> definition.name().equals(service);
            case RemoveService(String name) -> name.equals(service);
            case MoveService(String name, String ignored) -> name.equals(service);
            case PutProfile ignored -> false;
            case RemoveProfile ignored -> false;
            case PutTeam ignored -> false;
            case RemoveTeam ignored -> false;
            case SetPowerCap ignored -> false;
        };
    }

    /**
     * Adds or replaces a profile.
     *
     * @param profile the new value, not null
     */
    record PutProfile(Profile profile) implements ConfigurationChange {}

    /**
     * Removes a profile.
     *
     * @param name the name of the profile, not null
     */
    record RemoveProfile(String name) implements ConfigurationChange {}

    /**
     * Adds or replaces a service.
     *
     * @param service the new value, not null
     */
    record PutService(ServiceDefinition service) implements ConfigurationChange {}

    /**
     * Removes a service.
     *
     * @param name the name of the service, not null
     */
    record RemoveService(String name) implements ConfigurationChange {}

    /**
     * Moves a service to another profile.
     *
     * @param service the name of the service, not null
     * @param profile the name of the profile, not null
     */
    record MoveService(String service, String profile) implements ConfigurationChange {}

    /**
     * Adds or replaces a team.
     *
     * @param team the new value, not null
     */
    record PutTeam(Team team) implements ConfigurationChange {}

    /**
     * Removes a team.
     *
     * @param name the name of the team, not null
     */
    record RemoveTeam(String name) implements ConfigurationChange {}

    /**
     * Sets the cap on the site's electric power.
     *
     * @param milliwatts the cap in milliwatts, at least zero
     */
    record SetPowerCap(long milliwatts) implements ConfigurationChange {}
}
