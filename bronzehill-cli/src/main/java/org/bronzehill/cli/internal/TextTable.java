package org.bronzehill.cli.internal;

import java.util.ArrayList;
import java.util.List;

/** A table with left-aligned columns for the terminal. */
public final class TextTable {

    private final List<List<String>> rows = new ArrayList<>();

    private TextTable() {}

    /** Creates a table with the given headings. */
    public static TextTable of(String... headings) {
        TextTable table = new TextTable();
        table.rows.add(List.of(headings));
        return table;
    }

    /** Adds a row, which must have one cell per heading. */
    public TextTable row(Object... cells) {
        List<String> row = new ArrayList<>();
        for (Object c : cells) {
            row.add(String.valueOf(c));
        }
        rows.add(row);
        return this;
    }

    /** Returns the lines of the table, padded to the widest cell of each column. */
    public List<String> lines() {
        int columns = rows.get(0).size();
        int[] widths = new int[columns];
        for (List<String> r : rows) {
            for (int i = 0; i < columns; i++) {
                widths[i] = Math.max(widths[i], r.get(i).length());
            }
        }
        List<String> lines = new ArrayList<>();
        for (List<String> r : rows) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < columns; i++) {
                String cell = r.get(i);
                line.append(cell).append(" ".repeat(widths[i] - cell.length() + 2));
            }
            lines.add(line.toString().stripTrailing());
        }
        return lines;
    }
}
