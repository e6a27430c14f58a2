package org.nettlering.domain.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.upstream.UpstreamAddress;

class SlotTableTest {
    private static final List<String> ENTRIES = List.of("a", "b", "c", "d", "e", "f", "g");
    private static final int SLOTS = 8;

    private static UpstreamAddress address(int number) {
        return new UpstreamAddress("127.0.0.1", 1_000 + number);
    }

    @Test
    void theSharesOfAllEntriesAddUpToTheSlots() {
        for (int number = 0; number < 100; number++) {
            UpstreamAddress address = address(number);
            int sum = ENTRIES.stream()
                    .mapToInt(entry -> SlotShares.owned(address, SLOTS, entry, ENTRIES))
                    .sum();

            assertThat(sum).isEqualTo(SLOTS);
        }
    }

    @Test
    void aLostGrantIsMendedByTheNextReport() {
        SlotTable lender = table("a", List.of("b"));
        lender.lend("b", slots(lender), 4);

        lender.settleLoan("b", 0, Map.of());

        assertThat(slots(lender)).allSatisfy(slots -> assertThat(slots.lent()).isZero());
    }

    @Test
    void lentSlotsComeBackWhenTheBorrowerIsLost() {
        SlotTable lender = table("a", List.of("b"));
        lender.lend("b", slots(lender), 4);

        lender.setEntries(List.of("a"));

        assertThat(slots(lender)).allSatisfy(slots -> assertThat(slots.held()).isEqualTo(SLOTS));
    }

    @Test
    void slotsThatAreHeldNeverExceedTheInstanceWhileEntriesAgreeAndMessagesAreLost() {
        for (long seed = 0; seed < 200; seed++) {
            lendAtRandom(new Random(seed), seed);
        }
    }

    private static void lendAtRandom(Random random, long seed) {
        List<String> ids = List.of("a", "b", "c");
        Map<String, SlotTable> tables = new HashMap<>();
        Map<String, Long> seen = new HashMap<>();
        ids.forEach(id -> tables.put(id, table(id, ids)));
        for (int step = 0; step < 200; step++) {
            String lender = ids.get(random.nextInt(ids.size()));
            String borrower = ids.get(random.nextInt(ids.size()));
            if (lender.equals(borrower)) {
                continue;
            }
            SlotTable to = Objects.requireNonNull(tables.get(borrower));
            SlotTable from = Objects.requireNonNull(tables.get(lender));
            if (random.nextBoolean()) {
                to.returnFreeSlots();
            }
            exchange(random, from, to, lender, borrower, seen);
            assertHeldWithinSlots(tables, "seed " + seed + " step " + step);
        }
    }

    private static void exchange(
            Random random, SlotTable from, SlotTable to, String lender, String borrower, Map<String, Long> seen) {
        String pair = borrower + lender;
        from.settleLoan(borrower, seen.getOrDefault(pair, 0L), to.heldFrom(lender));
        SlotGrant grant = from.lend(borrower, slots(from), random.nextInt(4));
        boolean lost = random.nextInt(4) == 0;
        if (!lost) {
            to.addBorrowed(lender, grant.slots());
            seen.put(pair, grant.number());
        }
    }

    private static void assertHeldWithinSlots(Map<String, SlotTable> tables, String where) {
        for (int number = 0; number < 3; number++) {
            UpstreamAddress address = address(number);
            int held = 0;
            for (SlotTable table : tables.values()) {
                held += Objects.requireNonNull(table.find(address)).held();
            }
            assertThat(held).as(where).isLessThanOrEqualTo(SLOTS);
        }
    }

    private static SlotTable table(String id, List<String> entries) {
        SlotTable table = SlotTable.of(id);
        for (int number = 0; number < 3; number++) {
            table.put(address(number), SLOTS, 60);
        }
        table.setEntries(entries);
        return table;
    }

    private static List<InstanceSlots> slots(SlotTable table) {
        List<InstanceSlots> slots = new ArrayList<>();
        for (int number = 0; number < 3; number++) {
            slots.add(Objects.requireNonNull(table.find(address(number))));
        }
        return slots;
    }
}
