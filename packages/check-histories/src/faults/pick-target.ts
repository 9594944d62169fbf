/** Picks the part that a fault hits, modulo the number of parts. */
export function pickTarget<T>(parts: Iterable<T>, target: number): T {
  const list = [...parts];
  const part = list[target % list.length];
  if (part === undefined) throw new Error('there is no part to pick');
  return part;
}
