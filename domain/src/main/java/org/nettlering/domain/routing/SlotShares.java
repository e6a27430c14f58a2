package org.nettlering.domain.routing;

import java.util.Collection;
import org.nettlering.domain.upstream.UpstreamAddress;

/**
 * Divides the slots of an upstream between the entries.
 *
 * <p>Each entry computes the same shares from the same list of entries by rendezvous hashing, so that the shares add up
 * to the slots without communication. While two entries see different lists, a slot may have two owners.
 */
public final class SlotShares {
    private static final long MIXER_ONE = 0xbf58476d1ce4e5b9L;
    private static final long MIXER_TWO = 0x94d049bb133111ebL;

    private SlotShares() {}

    /**
     * Returns the number of slots of an upstream that an entry owns.
     *
     * @param address the upstream, not null
     * @param slots the number of slots of the upstream
     * @param entry the id of the entry, contained in {@code entries}, not null
     * @param entries the ids of the live entries, not null
     * @return the number of slots
     */
    public static int owned(UpstreamAddress address, int slots, String entry, Collection<String> entries) {
        long ownWeight = weight(address, entry);
        int rank = 0;
        for (String other : entries) {
            if (ranksBefore(weight(address, other), other, ownWeight, entry)) {
                rank++;
            }
        }
        int count = Math.max(1, entries.size());
        return slots / count + (rank < slots % count ? 1 : 0);
    }

    private static boolean ranksBefore(long weight, String entry, long ownWeight, String ownEntry) {
        int byWeight = Long.compareUnsigned(weight, ownWeight);
        return byWeight > 0 || (byWeight == 0 && entry.compareTo(ownEntry) < 0);
    }

    private static long weight(UpstreamAddress address, String entry) {
        long mixed = (((long) address.hashCode()) << Integer.SIZE) ^ entry.hashCode();
        mixed = (mixed ^ (mixed >>> 30)) * MIXER_ONE;
        mixed = (mixed ^ (mixed >>> 27)) * MIXER_TWO;
        return mixed ^ (mixed >>> 31);
    }
}
