package org.nettlering.operator.output;

import java.util.ArrayList;
import java.util.List;

/** Lines up columns of text. Not thread-safe. */
public final class Table {
    private static final String GAP = "  ";

    /** The rows, the heading first. */
    private final List<List<String>> rows = new ArrayList<>();

    /**
     * Starts a table.
     *
     * @param headings the headings of the columns, not null
     * @return a new table, never null
     */
    public static Table of(String... headings) {
        return new Table(List.of(headings));
    }

    private Table(List<String> headings) {
        rows.add(headings);
    }

    /**
     * Adds a row.
     *
     * @param cells one cell a column, not null
     * @return this table, never null
     */
    public Table row(Object... cells) {
        List<String> row = new ArrayList<>();
        for (Object cell : cells) {
            row.add(String.valueOf(cell));
        }
        rows.add(row);
        return this;
    }

    /**
     * Returns the text.
     *
     * @return one line a row, without trailing blanks, never null
     */
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        for (List<String> row : rows) {
            StringBuilder line = new StringBuilder();
            for (int column = 0; column < row.size(); column++) {
                String cell = row.get(column);
                line.append(cell)
                        .append(" ".repeat(width(column) - cell.length()))
                        .append(GAP);
            }
            text.append(line.toString().stripTrailing()).append(System.lineSeparator());
        }
        return text.toString();
    }

    private int width(int column) {
        return rows.stream()
                .filter(row -> column < row.size())
                .mapToInt(row -> row.get(column).length())
                .max()
                .orElse(0);
    }
}
