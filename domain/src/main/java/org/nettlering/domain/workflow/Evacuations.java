package org.nettlering.domain.workflow;

import java.util.Collections;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/**
 * The failure domains that are being evacuated: their hosts get no new runs.
 *
 * <p>Each change raises the version, so that a change based on an older version can be told and refused. Immutable and
 * thread-safe.
 */
public final class Evacuations {
    /** No failure domain was ever evacuated. */
    public static final Evacuations NONE = new Evacuations(0, Collections.emptySortedSet());

    private static final int MAX_NAME_LENGTH = 200;

    private static final int MAX_DOMAINS = 1_000;

    private final long version;

    private final SortedSet<String> failureDomains;

    /**
     * Returns evacuations with a version and failure domains.
     *
     * @param version the number of changes so far, zero or more
     * @param failureDomains the evacuated failure domains, not null
     * @return the evacuations, never null
     */
    public static Evacuations of(long version, Set<String> failureDomains) {
        return new Evacuations(version, new TreeSet<>(failureDomains));
    }

    /**
     * Checks the name of a failure domain in an order of an operator.
     *
     * @param failureDomain the name, not null
     * @throws NettleringException with {@code INVALID_ARGUMENT} if the name is empty or longer than 200 characters
     */
    public static void requireValidName(String failureDomain) {
        if (failureDomain.isBlank() || failureDomain.length() > MAX_NAME_LENGTH) {
            throw new NettleringException(
                    ErrorCode.INVALID_ARGUMENT,
                    "the name of a failure domain has 1 to " + MAX_NAME_LENGTH + " characters");
        }
    }

    private Evacuations(long version, SortedSet<String> failureDomains) {
        this.version = version;
        this.failureDomains = Collections.unmodifiableSortedSet(failureDomains);
    }

    /**
     * Returns the version.
     *
     * @return the number of changes so far
     */
    public long version() {
        return version;
    }

    /**
     * Returns the evacuated failure domains.
     *
     * @return an unmodifiable set in alphabetical order, never null
     */
    public SortedSet<String> failureDomains() {
        return failureDomains;
    }

    /**
     * Returns whether a failure domain is evacuated.
     *
     * @param failureDomain the failure domain, not null
     * @return true from the start of its evacuation to the end
     */
    public boolean includes(String failureDomain) {
        return failureDomains.contains(failureDomain);
    }

    /**
     * Returns whether one more failure domain can be evacuated.
     *
     * @return false if the limit of 1,000 domains is reached
     */
    public boolean hasRoom() {
        return failureDomains.size() < MAX_DOMAINS;
    }

    /**
     * Returns these evacuations with one started or finished.
     *
     * @param failureDomain the failure domain, not null
     * @param evacuated true to start its evacuation, false to finish it
     * @return evacuations with the next version, or these if nothing changes, never null
     */
    public Evacuations with(String failureDomain, boolean evacuated) {
        if (includes(failureDomain) == evacuated) {
            return this;
        }
        SortedSet<String> changed = new TreeSet<>(failureDomains);
        if (evacuated) {
            changed.add(failureDomain);
        } else {
            changed.remove(failureDomain);
        }
        return new Evacuations(version + 1, changed);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Evacuations evacuations
                && version == evacuations.version
                && failureDomains.equals(evacuations.failureDomains);
    }

    @Override
    public int hashCode() {
        return 31 * Long.hashCode(version) + failureDomains.hashCode();
    }

    @Override
    public String toString() {
        return "evacuated " + failureDomains + " (version " + version + ")";
    }
}
