import { findNodeAtLocation, parseTree } from 'jsonc-parser';
import { findPosition } from './find-position.js';

/**
 * Finds the place of a path in a document, or of its nearest parent that exists. An object member is found at its name,
 * which is also the place of a member that the schema does not know.
 */
export function findPathPosition(
  text: string,
  path: readonly PropertyKey[],
): { readonly line: number; readonly column: number } {
  const root = parseTree(text, [], { allowTrailingComma: true });
  if (root === undefined) return { line: 1, column: 1 };
  for (let length = path.length; length > 0; length -= 1) {
    const part = path.slice(0, length).map((key) => (typeof key === 'symbol' ? '' : key));
    const node = findNodeAtLocation(root, part);
    if (node === undefined) continue;
    const place = node.parent?.type === 'property' ? node.parent : node;
    return findPosition(text, place.offset);
  }
  return findPosition(text, root.offset);
}
