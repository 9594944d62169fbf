/** A line break in a name or an error text of a peer would break the table. */
const CONTROL = /\p{Cc}/gu;

/** Renders rows as columns that are as wide as their widest cell; the first row is the heading. */
export function renderColumns(rows: readonly (readonly string[])[], indent = ''): readonly string[] {
  const clean = rows.map((row) => row.map((cell) => cell.replace(CONTROL, ' ')));
  const widths: number[] = [];
  for (const row of clean) {
    for (const [column, cell] of row.entries()) {
      widths[column] = Math.max(widths[column] ?? 0, cell.length);
    }
  }
  return clean.map((row) =>
    `${indent}${row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  ')}`.trimEnd(),
  );
}
