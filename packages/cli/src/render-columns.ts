/** Line breaks and other control characters in names and error texts from peers would break the table. */
const CONTROL_CHARACTERS = /\p{Cc}/gu;

/** Renders rows as lines with left-aligned columns, each as wide as its widest cell. Control characters become spaces. */
export function renderColumns(rows: readonly (readonly string[])[], indent = ''): readonly string[] {
  const cleanRows = rows.map((row) => row.map((cell) => cell.replace(CONTROL_CHARACTERS, ' ')));
  const widths: number[] = [];
  for (const row of cleanRows) {
    for (const [column, cell] of row.entries()) {
      widths[column] = Math.max(widths[column] ?? 0, cell.length);
    }
  }
  return cleanRows.map((row) =>
    `${indent}${row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  ')}`.trimEnd(),
  );
}
