package org.nettlering.domain.configuration;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.nettlering.domain.configuration.ConfigurationChange.MoveService;
import org.nettlering.domain.configuration.ConfigurationChange.PutProfile;
import org.nettlering.domain.configuration.ConfigurationChange.PutService;
import org.nettlering.domain.configuration.ConfigurationChange.PutTeam;
import org.nettlering.domain.configuration.ConfigurationChange.RemoveProfile;
import org.nettlering.domain.configuration.ConfigurationChange.RemoveService;
import org.nettlering.domain.configuration.ConfigurationChange.RemoveTeam;
import org.nettlering.domain.configuration.ConfigurationChange.SetPowerCap;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/**
 * A revision of the whole configuration.
 *
 * <p>Revision zero is the empty configuration; each accepted operation creates the next revision. Immutable and
 * thread-safe.
 *
 * <pre>{@code
 * SiteConfiguration next = SiteConfiguration.empty().plusChanges(List.of(new SetPowerCap(900_000_000)));
 * }</pre>
 */
public final class SiteConfiguration {
    private static final SiteConfiguration EMPTY =
            new SiteConfiguration(0, new TreeMap<>(), new TreeMap<>(), new TreeMap<>(), 0);

    private final long revision;

    private final Map<String, Profile> profiles;

    private final Map<String, ServiceDefinition> services;

    private final Map<String, Team> teams;

    /** The cap on the site's power in milliwatts; zero until it is set, which means that no work may draw power. */
    private final long powerCapMilliwatts;

    /**
     * Returns the empty configuration.
     *
     * @return revision zero, never null
     */
    public static SiteConfiguration empty() {
        return EMPTY;
    }

    /**
     * Creates a configuration from its parts, such as those of a snapshot.
     *
     * @param revision the revision, at least zero
     * @param profiles the profiles, not null
     * @param services the services, not null
     * @param teams the teams, not null
     * @param powerCapMilliwatts the cap in milliwatts, at least zero
     * @return the configuration, never null
     * @throws NettleringException {@code INVALID_CONFIGURATION} if the parts are inconsistent
     */
    public static SiteConfiguration of(
            long revision,
            List<Profile> profiles,
            List<ServiceDefinition> services,
            List<Team> teams,
            long powerCapMilliwatts) {
        Draft draft = new Draft(EMPTY);
        profiles.forEach(profile -> draft.profiles.put(profile.name(), profile));
        services.forEach(service -> draft.services.put(service.name(), service));
        teams.forEach(team -> draft.teams.put(team.name(), team));
        draft.powerCapMilliwatts = powerCapMilliwatts;
        return draft.build(revision);
    }

    private SiteConfiguration(
            long revision,
            Map<String, Profile> profiles,
            Map<String, ServiceDefinition> services,
            Map<String, Team> teams,
            long powerCapMilliwatts) {
        this.revision = revision;
        this.profiles = Collections.unmodifiableMap(profiles);
        this.services = Collections.unmodifiableMap(services);
        this.teams = Collections.unmodifiableMap(teams);
        this.powerCapMilliwatts = powerCapMilliwatts;
    }

    /**
     * Returns the revision.
     *
     * @return the revision, at least zero
     */
    public long revision() {
        return revision;
    }

    /**
     * Returns the profiles.
     *
     * @return an unmodifiable map by name, sorted by name, never null
     */
    public Map<String, Profile> profiles() {
        return profiles;
    }

    /**
     * Returns the services.
     *
     * @return an unmodifiable map by name, sorted by name, never null
     */
    public Map<String, ServiceDefinition> services() {
        return services;
    }

    /**
     * Returns the teams.
     *
     * @return an unmodifiable map by name, sorted by name, never null
     */
    public Map<String, Team> teams() {
        return teams;
    }

    /**
     * Returns the cap on the site's power.
     *
     * @return the cap in milliwatts, at least zero
     */
    public long powerCapMilliwatts() {
        return powerCapMilliwatts;
    }

    /**
     * Finds the service that a request is routed to.
     *
     * @param requestHost the host of the request, without port, not null
     * @param requestPath the path of the request, not null
     * @return the service of the most specific route, or empty if no route matches, never null
     */
    public Optional<ServiceDefinition> serviceFor(String requestHost, String requestPath) {
        ServiceDefinition best = null;
        int bestSpecificity = -1;
        for (ServiceDefinition service : services.values()) {
            for (Route route : service.routes()) {
                int specificity = specificity(route);
                if (specificity > bestSpecificity && route.isMatch(requestHost, requestPath)) {
                    best = service;
                    bestSpecificity = specificity;
                }
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Applies changes and returns the next revision.
     *
     * @param changes the changes in order, at least one, not null
     * @return the next revision, never null
     * @throws NettleringException {@code NOT_FOUND} if a change refers to an object that does not exist,
     *     {@code INVALID_CONFIGURATION} if there are no changes or if the result is inconsistent as a whole
     */
    public SiteConfiguration plusChanges(List<ConfigurationChange> changes) {
        if (changes.isEmpty()) {
            throw new NettleringException(ErrorCode.INVALID_CONFIGURATION, "the operation holds no change");
        }
        Draft draft = new Draft(this);
        changes.forEach(draft::apply);
        return draft.build(revision + 1);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof SiteConfiguration that
                && revision == that.revision
                && powerCapMilliwatts == that.powerCapMilliwatts
                && profiles.equals(that.profiles)
                && services.equals(that.services)
                && teams.equals(that.teams);
    }

    @Override
    public int hashCode() {
        return Long.hashCode(revision) * 31 + profiles.hashCode() + services.hashCode() + teams.hashCode();
    }

    @Override
    public String toString() {
        return "SiteConfiguration[revision=" + revision + ", profiles=" + profiles.keySet() + ", services="
                + services.keySet() + ", teams=" + teams.keySet() + ", powerCapMilliwatts=" + powerCapMilliwatts + "]";
    }

    private static int specificity(Route route) {
        int hostSpecificity = route.host().isEmpty() ? 0 : 1_000_000;
        return hostSpecificity + route.pathPrefix().length();
    }

    /** A mutable copy to which changes are applied. */
    private static final class Draft {
        private final TreeMap<String, Profile> profiles;
        private final TreeMap<String, ServiceDefinition> services;
        private final TreeMap<String, Team> teams;
        private long powerCapMilliwatts;

        Draft(SiteConfiguration base) {
            profiles = new TreeMap<>(base.profiles);
            services = new TreeMap<>(base.services);
            teams = new TreeMap<>(base.teams);
            powerCapMilliwatts = base.powerCapMilliwatts;
        }

        void apply(ConfigurationChange change) {
            switch (change) {
                case PutProfile(Profile profile) -> profiles.put(profile.name(), profile);
                case RemoveProfile(String name) -> remove(profiles, "profile", name);
                case PutService(ServiceDefinition service) -> services.put(service.name(), service);
                case RemoveService(String name) -> remove(services, "service", name);
                case MoveService(String service, String profile) -> moveService(service, profile);
                case PutTeam(Team team) -> teams.put(team.name(), team);
                case RemoveTeam(String name) -> remove(teams, "team", name);
                case SetPowerCap(long milliwatts) -> powerCapMilliwatts = milliwatts;
            }
        }

        SiteConfiguration build(long newRevision) {
            ConfigurationValidator.validate(profiles, services, powerCapMilliwatts);
            return new SiteConfiguration(newRevision, profiles, services, teams, powerCapMilliwatts);
        }

        private void moveService(String name, String profile) {
            ServiceDefinition service = services.get(name);
            if (service == null) {
                throw new NettleringException(ErrorCode.NOT_FOUND, "service \"" + name + "\" does not exist");
            }
            services.put(name, service.withProfile(profile));
        }

        private static void remove(Map<String, ?> entries, String kind, String name) {
            if (entries.remove(name) == null) {
                throw new NettleringException(ErrorCode.NOT_FOUND, kind + " \"" + name + "\" does not exist");
            }
        }
    }
}
