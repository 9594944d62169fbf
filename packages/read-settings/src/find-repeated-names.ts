import type { Node } from 'jsonc-parser';

/**
 * Finds object members whose name already occurs in the same object, at any depth. They are reported because JSON parsers
 * silently keep only one of them.
 */
export function findRepeatedNames(node: Node): readonly Node[] {
  const children = node.children ?? [];
  const found = children.flatMap(findRepeatedNames);
  if (node.type !== 'object') return found;
  const seen = new Set<unknown>();
  for (const property of children) {
    const name: unknown = property.children?.[0]?.value;
    if (seen.has(name)) found.push(property);
    seen.add(name);
  }
  return found;
}
