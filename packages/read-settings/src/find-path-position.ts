import { findNodeAtLocation, parseTree } from 'jsonc-parser';
import { findPosition } from './find-position.js';

/**
 * Finds the position of a path in a document, or of its nearest existing ancestor. The position of an object member is that
 * of its name, also when the schema does not define the member.
 *
 * @returns 1-based line and column; 1:1 when the text has no value
 */
export function findPathPosition(
  text: string,
  path: readonly PropertyKey[],
): { readonly line: number; readonly column: number } {
  const root = parseTree(text, [], { allowTrailingComma: true });
  if (root === undefined) return { line: 1, column: 1 };
  for (let length = path.length; length > 0; length -= 1) {
    const ancestorPath = path.slice(0, length).map((key) => (typeof key === 'symbol' ? '' : key));
    const node = findNodeAtLocation(root, ancestorPath);
    if (node === undefined) continue;
    const located = node.parent?.type === 'property' ? node.parent : node;
    return findPosition(text, located.offset);
  }
  return findPosition(text, root.offset);
}
