package org.nettlering.domain.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.nettlering.domain.task.Resources;

/**
 * Finds workers with enough free capacity without examining all of them.
 *
 * <p>Workers are kept in a grid of cells, with free processors as rows and free memory as columns. A bitmask for each row
 * marks its non-empty cells. Workers in a cell above the row and the column of a request always fit; those in its row or
 * column may not. Not thread-safe.
 */
final class WorkerIndex {
    /** Number of rows and of columns; the last ones have no upper bound. */
    private static final int GRID_SIZE = 64;

    /** Range of free processors that a row covers. */
    private static final long ROW_MILLICORES = 1_000;

    /** Range of free memory that a column covers. */
    private static final long COLUMN_MEBIBYTES = 4_096;

    /** Maximum number of workers examined in one cell for one request. */
    private static final int MAX_CHECKS_PER_CELL = 32;

    /** The cells in row-major order. */
    private final List<List<WorkerSlot>> cells = new ArrayList<>(GRID_SIZE * GRID_SIZE);

    /** A bitmask for each row, with a bit set for each non-empty cell. */
    private final long[] columnMasks = new long[GRID_SIZE];

    /** Maximum number of workers examined in all cells for one request. */
    private static final int MAX_CHECKS_PER_JOB = 256;

    private int remainingChecks;

    /** Offset of the first worker examined in a cell; advances with each request to spread ties over workers. */
    private int rotation;

    WorkerIndex() {
        for (int cell = 0; cell < GRID_SIZE * GRID_SIZE; cell++) {
            cells.add(new ArrayList<>(0));
        }
    }

    /** Moves a worker to the cell for its free capacity, or removes it if it is not schedulable. */
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
     * Returns workers that a request fits on, half of them from the cells with the least free capacity and half from those
     * with the most.
     *
     * @param request the resources that have to fit, not null
     * @param limit the maximum number of workers
     * @param eligible the filter for workers that may be used, not null
     * @return the workers, without duplicates, never null
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
