/** Formats the path of a value in a document, e.g. `pools[0].servers`. */
export function formatPath(path: readonly PropertyKey[]): string {
  return path
    .map((part, index) =>
      typeof part === 'number' ? `[${String(part)}]` : `${index === 0 ? '' : '.'}${String(part)}`,
    )
    .join('');
}
