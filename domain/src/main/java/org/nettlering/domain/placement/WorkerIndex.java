package org.nettlering.domain.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.nettlering.domain.task.Resources;

/**
 * Finds workers by what they have left, without looking at all of them.
 *
 * <p>Workers stand in a grid of cells by free processors and free memory; a bitmask for each row tells which cells hold any.
 * Every worker in a cell beyond the wanted one in both directions fits. Not thread-safe.
 */
final class WorkerIndex {
    /** Rows and columns; the last ones are open-ended. */
    private static final int SIZE = 64;

    /** Free processors that make up a row. */
    private static final long ROW_MILLICORES = 1_000;

    /** Free memory that makes up a column. */
    private static final long COLUMN_MEBIBYTES = 4_096;

    /** Workers of one cell that are looked at for one job. */
    private static final int MAX_LOOKED_AT = 32;

    /** The cells, row by row. */
    private final List<List<WorkerSlot>> cells = new ArrayList<>(SIZE * SIZE);

    /** A bit for each cell of a row that holds a worker. */
    private final long[] masks = new long[SIZE];

    /** Workers that are looked at for one job in all cells. */
    private static final int MAX_LOOKS = 256;

    /** Looks that are left for the present job. */
    private int looksLeft;

    /** Where to begin within a cell, so that ties do not always fall on the same worker. */
    private int offset;

    WorkerIndex() {
        for (int cell = 0; cell < SIZE * SIZE; cell++) {
            cells.add(new ArrayList<>(0));
        }
    }

    /** Puts a worker where its free amount belongs, or takes it out when it is not offered. */
    void place(WorkerSlot slot, boolean offered) {
        if (!offered || slot.free.isNegative()) {
            remove(slot);
            return;
        }
        int row = row(slot.free);
        int column = column(slot.free);
        if (row == slot.row && column == slot.column) {
            return;
        }
        remove(slot);
        List<WorkerSlot> cell = cells.get(row * SIZE + column);
        slot.row = row;
        slot.column = column;
        slot.position = cell.size();
        cell.add(slot);
        masks[row] |= 1L << column;
    }

    /**
     * Collects workers that fit, half of them from the tightest cells and half from the loosest.
     *
     * @param need what has to fit, not null
     * @param limit how many to collect at the most
     * @param accepted whether a worker may be used at all, not null
     * @return the workers, without repetitions, never null
     */
    List<WorkerSlot> candidates(Resources need, int limit, Predicate<WorkerSlot> accepted) {
        List<WorkerSlot> found = new ArrayList<>(limit);
        offset++;
        looksLeft = MAX_LOOKS;
        int first = row(need);
        for (int row = first; row < SIZE && found.size() < limit / 2; row++) {
            collectRow(row, need, limit / 2, accepted, found);
        }
        for (int row = SIZE - 1; row >= first && found.size() < limit; row--) {
            collectRow(row, need, limit, accepted, found);
        }
        return found;
    }

    private void collectRow(
            int row, Resources need, int limit, Predicate<WorkerSlot> accepted, List<WorkerSlot> found) {
        long mask = masks[row] & (-1L << column(need));
        while (mask != 0 && found.size() < limit && looksLeft > 0) {
            int column = Long.numberOfTrailingZeros(mask);
            mask &= mask - 1;
            collectCell(cells.get(row * SIZE + column), need, limit, accepted, found);
        }
    }

    private void collectCell(
            List<WorkerSlot> cell, Resources need, int limit, Predicate<WorkerSlot> accepted, List<WorkerSlot> found) {
        int looks = Math.min(cell.size(), MAX_LOOKED_AT);
        for (int look = 0; look < looks && found.size() < limit; look++) {
            looksLeft--;
            WorkerSlot slot = cell.get(Math.floorMod(offset + look, cell.size()));
            if (need.fitsIn(slot.free) && accepted.test(slot) && !found.contains(slot)) {
                found.add(slot);
            }
        }
    }

    private void remove(WorkerSlot slot) {
        if (!slot.isOffered()) {
            return;
        }
        List<WorkerSlot> cell = cells.get(slot.row * SIZE + slot.column);
        WorkerSlot last = cell.removeLast();
        if (last != slot) {
            cell.set(slot.position, last);
            last.position = slot.position;
        }
        if (cell.isEmpty()) {
            masks[slot.row] &= ~(1L << slot.column);
        }
        slot.row = -1;
        slot.column = -1;
        slot.position = -1;
    }

    private static int row(Resources amount) {
        return (int) Math.min(SIZE - 1, amount.millicores() / ROW_MILLICORES);
    }

    private static int column(Resources amount) {
        return (int) Math.min(SIZE - 1, amount.memoryMebibytes() / COLUMN_MEBIBYTES);
    }
}
