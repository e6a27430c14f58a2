package org.nettlering.consensus;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The members of a group.
 *
 * <p>A membership takes effect when its entry is appended to the log. Consecutive memberships differ in one member.
 * Immutable and thread-safe.
 */
public final class Membership {
    /** The membership without members, in effect on a member that belongs to no group yet. */
    public static final Membership EMPTY = new Membership(List.of());

    private final List<Member> members;

    /**
     * Returns the membership with the given members.
     *
     * @param members the members; of members with the same id the last one is used, not null
     * @return the membership, never null
     */
    public static Membership of(Collection<Member> members) {
        TreeMap<MemberId, Member> ordered = new TreeMap<>();
        members.forEach(member -> ordered.put(member.id(), member));
        return new Membership(List.copyOf(ordered.values()));
    }

    private Membership(List<Member> members) {
        this.members = members;
    }

    /**
     * Returns all members, ordered by id.
     *
     * @return an immutable list, never null
     */
    public List<Member> members() {
        return members;
    }

    /**
     * Returns the voting members, ordered by id.
     *
     * @return an immutable list, never null
     */
    public List<Member> voters() {
        return members.stream().filter(Member::voting).toList();
    }

    /**
     * Finds a member.
     *
     * @param id the member's id, not null
     * @return the member, or empty if there is none, never null
     */
    public Optional<Member> find(MemberId id) {
        return members.stream().filter(member -> member.id().equals(id)).findFirst();
    }

    /**
     * Returns whether a member is a voter on the given disk.
     *
     * @param id the member's id, not null
     * @param diskId the id of the disk
     * @return true if the member is listed as a voter with that disk
     */
    public boolean isVoter(MemberId id, long diskId) {
        return find(id).filter(member -> member.voting() && member.diskId() == diskId)
                .isPresent();
    }

    /**
     * Returns the number of voters that make a majority.
     *
     * @return the quorum size, at least one
     */
    public int quorum() {
        return voters().size() / 2 + 1;
    }

    /**
     * Returns a copy with a member added or replaced.
     *
     * @param member the member, not null
     * @return the changed membership, never null
     */
    public Membership with(Member member) {
        TreeMap<MemberId, Member> changed = new TreeMap<>();
        members.forEach(existing -> changed.put(existing.id(), existing));
        changed.put(member.id(), member);
        return new Membership(List.copyOf(changed.values()));
    }

    /**
     * Returns a copy with a member removed.
     *
     * @param id the member's id, not null
     * @return the changed membership, never null
     */
    public Membership without(MemberId id) {
        return new Membership(
                members.stream().filter(member -> !member.id().equals(id)).toList());
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Membership that && members.equals(that.members);
    }

    @Override
    public int hashCode() {
        return members.hashCode();
    }

    @Override
    public String toString() {
        return members.toString();
    }
}
