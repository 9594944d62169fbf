import { createScanner } from 'jsonc-parser';

/** Change of the nesting depth by a token, keyed by its first character. */
const DEPTH_STEPS: Readonly<Record<string, number>> = { '{': 1, '[': 1, '}': -1, ']': -1 };

/**
 * Finds the offset of the first object or list nested deeper than `maxDepth`; `undefined` when there is none. The document
 * parser is recursive, so a document must be checked before it is parsed, or deep nesting overflows the stack.
 */
export function findDeepNesting(text: string, maxDepth: number): number | undefined {
  const scanner = createScanner(text, true);
  let depth = 0;
  // Only the end-of-file token has length 0.
  for (scanner.scan(); scanner.getTokenLength() > 0; scanner.scan()) {
    const offset = scanner.getTokenOffset();
    depth += DEPTH_STEPS[text.charAt(offset)] ?? 0;
    if (depth > maxDepth) return offset;
  }
  return undefined;
}
