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
    void sharesOfAllEntriesSumToTheSlotsOfTheInstance() {
        for (int number = 0; number < 100; number++) {
            UpstreamAddress address = address(number);
            int sum = ENTRIES.stream()
                    .mapToInt(entry -> SlotShares.owned(address, SLOTS, entry, ENTRIES))
                    .sum();

            assertThat(sum).isEqualTo(SLOTS);
        }
    }

    @Test
    void aLostGrantIsReclaimedByTheNextReport() {
        SlotTable lender = table("a", List.of("b"));
        lender.lend("b", slots(lender), 4);

        lender.reconcileLoan("b", 0, Map.of());

        assertThat(slots(lender))
                .allSatisfy(slots -> assertThat(slots.lentSlots()).isZero());
    }

    @Test
    void lentSlotsAreReclaimedWhenTheBorrowerIsLost() {
        SlotTable lender = table("a", List.of("b"));
        lender.lend("b", slots(lender), 4);

        lender.setEntries(List.of("a"));

        assertThat(slots(lender))
                .allSatisfy(slots -> assertThat(slots.heldSlots()).isEqualTo(SLOTS));
    }

    @Test
    void heldSlotsNeverExceedTheInstanceWhenGrantsAreLost() {
        for (long seed = 0; seed < 200; seed++) {
            lendAtRandom(new Random(seed), seed);
        }
    }

    private static void lendAtRandom(Random random, long seed) {
        List<String> ids = List.of("a", "b", "c");
        Map<String, SlotTable> tables = new HashMap<>();
        Map<String, Long> lastGrantNumbers = new HashMap<>();
        ids.forEach(id -> tables.put(id, table(id, ids)));
        for (int step = 0; step < 200; step++) {
            String lender = ids.get(random.nextInt(ids.size()));
            String borrower = ids.get(random.nextInt(ids.size()));
            if (lender.equals(borrower)) {
                continue;
            }
            SlotTable borrowerTable = Objects.requireNonNull(tables.get(borrower));
            SlotTable lenderTable = Objects.requireNonNull(tables.get(lender));
            if (random.nextBoolean()) {
                borrowerTable.returnFreeSlots();
            }
            exchange(random, lenderTable, borrowerTable, lender, borrower, lastGrantNumbers);
            assertHeldWithinSlots(tables, "seed " + seed + " step " + step);
        }
    }

    private static void exchange(
            Random random,
            SlotTable lenderTable,
            SlotTable borrowerTable,
            String lender,
            String borrower,
            Map<String, Long> lastGrantNumbers) {
        String pair = borrower + lender;
        lenderTable.reconcileLoan(
                borrower, lastGrantNumbers.getOrDefault(pair, 0L), borrowerTable.borrowedFrom(lender));
        SlotGrant grant = lenderTable.lend(borrower, slots(lenderTable), random.nextInt(4));
        boolean isLost = random.nextInt(4) == 0;
        if (!isLost) {
            borrowerTable.addBorrowed(lender, grant.slots());
            lastGrantNumbers.put(pair, grant.number());
        }
    }

    private static void assertHeldWithinSlots(Map<String, SlotTable> tables, String context) {
        for (int number = 0; number < 3; number++) {
            UpstreamAddress address = address(number);
            int held = 0;
            for (SlotTable table : tables.values()) {
                held += Objects.requireNonNull(table.find(address)).heldSlots();
            }
            assertThat(held).as(context).isLessThanOrEqualTo(SLOTS);
        }
    }

    private static SlotTable table(String id, List<String> entries) {
        SlotTable table = SlotTable.of(id);
        for (int number = 0; number < 3; number++) {
            table.putInstance(address(number), SLOTS, 60);
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
