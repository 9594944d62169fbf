import type { Finding } from '@laburnumshift/types';
import { getNodeValue, parseTree, printParseErrorCode, type ParseError } from 'jsonc-parser';
import type { z } from 'zod';
import { findDeepNesting } from './find-deep-nesting.js';
import { findRepeatedNames } from './find-repeated-names.js';
import { formatPath } from './format-path.js';
import { findPosition } from './find-position.js';
import { findPathPosition } from './find-path-position.js';

/** Largest nesting depth of objects and lists in a document; the schemas need fewer than ten levels. */
const MAX_DEPTH = 64;

/** Result of a check: `value` is undefined when there are findings. */
interface CheckedDocument<T> {
  readonly value: T | undefined;
  readonly findings: readonly Finding[];
}

/**
 * Parses JSON with comments and validates it against a schema. All findings are reported with their 1-based line and
 * column; schema findings only when the document has no syntax error.
 *
 * @param file path that the findings name; it is not read
 */
export function checkDocument<T>(file: string, text: string, schema: z.ZodType<T>): CheckedDocument<T> {
  const deepOffset = findDeepNesting(text, MAX_DEPTH);
  if (deepOffset !== undefined) {
    const message = `objects and lists are nested deeper than ${String(MAX_DEPTH)} levels`;
    return { value: undefined, findings: [{ file, ...findPosition(text, deepOffset), path: '', message }] };
  }
  const errors: ParseError[] = [];
  const root = parseTree(text, errors, { allowTrailingComma: true });
  const syntaxFindings = errors.map((error) => ({
    file,
    ...findPosition(text, error.offset),
    path: '',
    message: `syntax error: ${printParseErrorCode(error.error)}`,
  }));
  // The parser recovers from syntax errors with a partial value, whose schema findings would be misleading.
  if (syntaxFindings.length > 0) return { value: undefined, findings: syntaxFindings };
  if (root === undefined) {
    const message = 'the file is empty; it must hold an object';
    return { value: undefined, findings: [{ file, line: 1, column: 1, path: '', message }] };
  }
  const repeatedFindings = findRepeatedNames(root).map((node) => ({
    file,
    ...findPosition(text, node.offset),
    path: String(node.children?.[0]?.value),
    message: 'this name occurs twice in the same object',
  }));
  const parsed = schema.safeParse(getNodeValue(root));
  const issues = (parsed.error?.issues ?? []).flatMap((issue) =>
    issue.code === 'unrecognized_keys'
      ? issue.keys.map((key) => ({ path: [...issue.path, key], message: 'unknown name' }))
      : [{ path: issue.path, message: issue.message }],
  );
  const schemaFindings = issues.map(({ path, message }) => ({
    file,
    ...findPathPosition(text, path),
    path: formatPath(path),
    message,
  }));
  const findings = [...repeatedFindings, ...schemaFindings].sort(
    (a, b) => a.line - b.line || a.column - b.column,
  );
  return { value: findings.length === 0 ? parsed.data : undefined, findings };
}
