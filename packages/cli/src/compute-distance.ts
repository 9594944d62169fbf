/** Computes the Levenshtein distance: the least number of insertions, deletions and replacements between two words. */
export function computeDistance(from: string, to: string): number {
  let row = Array.from({ length: to.length + 1 }, (_, column) => column);
  for (const [index, character] of Array.from(from).entries()) {
    const nextRow = [index + 1];
    for (const [column, otherCharacter] of Array.from(to).entries()) {
      const replaceCost = (row[column] ?? 0) + (character === otherCharacter ? 0 : 1);
      nextRow.push(Math.min(replaceCost, (row[column + 1] ?? 0) + 1, (nextRow[column] ?? 0) + 1));
    }
    row = nextRow;
  }
  return row[to.length] ?? 0;
}
