/** Computes the number of letters to insert, delete or replace to turn one word into another. */
export function computeDistance(from: string, to: string): number {
  let row = Array.from({ length: to.length + 1 }, (_, column) => column);
  for (const [index, letter] of Array.from(from).entries()) {
    const next = [index + 1];
    for (const [column, other] of Array.from(to).entries()) {
      const replaced = (row[column] ?? 0) + (letter === other ? 0 : 1);
      next.push(Math.min(replaced, (row[column + 1] ?? 0) + 1, (next[column] ?? 0) + 1));
    }
    row = next;
  }
  return row[to.length] ?? 0;
}
