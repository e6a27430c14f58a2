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
    private static final int GRID_SIZE = 64;

    /** Free processors that make up a row. */
    private static final long ROW_MILLICORES = 1_000;

    /** Free memory that makes up a column. */
    private static final long COLUMN_MEBIBYTES = 4_096;

    /** Workers of one cell that are looked at for one job. */
    private static final int MAX_CHECKS_PER_CELL = 32;

    /** The cells, row by row. */
    private final List<List<WorkerSlot>> cells = new ArrayList<>(GRID_SIZE * GRID_SIZE);

    /** A bit for each cell of a row that holds a worker. */
    private final long[] columnMasks = new long[GRID_SIZE];

    /** Workers that are looked at for one job in all cells. */
    private static final int MAX_CHECKS_PER_JOB = 256;

    /** Looks that are left for the present job. */
    private int remainingChecks;

    /** Where to begin within a cell, so that ties do not always fall on the same worker. */
    private int rotation;

    WorkerIndex() {
        for (int cell = 0; cell < GRID_SIZE * GRID_SIZE; cell++) {
            cells.add(new ArrayList<>(0));
        }
    }

    /** Puts a worker where its free amount belongs, or takes it out when it is not offered. */
    void update(WorkerSlot slot, boolean schedulable) {
        if (!schedulable || slot.free.isNegative()) {
            remove(slot);
            return;
        }
        int row = row(slot.free);
        int column = column(slot.free);
        if (row == slot.row && column == slot.column) {
            return;
        }
        remove(slot);
        List<WorkerSlot> cell = cells.get(row * GRID_SIZE + column);
        slot.row = row;
        slot.column = column;
        slot.cellPosition = cell.size();
        cell.add(slot);
        columnMasks[row] |= 1L << column;
    }

    /**
     * Collects workers that fit, half of them from the tightest cells and half from the loosest.
     *
     * @param request what has to fit, not null
     * @param limit how many to collect at the most
     * @param eligible whether a worker may be used at all, not null
     * @return the workers, without repetitions, never null
     */
    List<WorkerSlot> candidates(Resources request, int limit, Predicate<WorkerSlot> eligible) {
        List<WorkerSlot> candidates = new ArrayList<>(limit);
        rotation++;
        remainingChecks = MAX_CHECKS_PER_JOB;
        int firstRow = row(request);
        for (int row = firstRow; row < GRID_SIZE && candidates.size() < limit / 2; row++) {
            collectRow(row, request, limit / 2, eligible, candidates);
        }
        for (int row = GRID_SIZE - 1; row >= firstRow && candidates.size() < limit; row--) {
            collectRow(row, request, limit, eligible, candidates);
        }
        return candidates;
    }

    private void collectRow(
            int row, Resources request, int limit, Predicate<WorkerSlot> eligible, List<WorkerSlot> candidates) {
        long mask = columnMasks[row] & (-1L << column(request));
        while (mask != 0 && candidates.size() < limit && remainingChecks > 0) {
            int column = Long.numberOfTrailingZeros(mask);
            mask &= mask - 1;
            collectCell(cells.get(row * GRID_SIZE + column), request, limit, eligible, candidates);
        }
    }

    private void collectCell(
            List<WorkerSlot> cell,
            Resources request,
            int limit,
            Predicate<WorkerSlot> eligible,
            List<WorkerSlot> candidates) {
        int checks = Math.min(cell.size(), MAX_CHECKS_PER_CELL);
        for (int step = 0; step < checks && candidates.size() < limit; step++) {
            remainingChecks--;
            WorkerSlot slot = cell.get(Math.floorMod(rotation + step, cell.size()));
            if (request.fitsIn(slot.free) && eligible.test(slot) && !candidates.contains(slot)) {
                candidates.add(slot);
            }
        }
    }

    private void remove(WorkerSlot slot) {
        if (!slot.isIndexed()) {
            return;
        }
        List<WorkerSlot> cell = cells.get(slot.row * GRID_SIZE + slot.column);
        WorkerSlot last = cell.removeLast();
        if (last != slot) {
            cell.set(slot.cellPosition, last);
            last.cellPosition = slot.cellPosition;
        }
        if (cell.isEmpty()) {
            columnMasks[slot.row] &= ~(1L << slot.column);
        }
        slot.row = -1;
        slot.column = -1;
        slot.cellPosition = -1;
    }

    private static int row(Resources amount) {
        return (int) Math.min(GRID_SIZE - 1, amount.millicores() / ROW_MILLICORES);
    }

    private static int column(Resources amount) {
        return (int) Math.min(GRID_SIZE - 1, amount.memoryMebibytes() / COLUMN_MEBIBYTES);
    }
}
