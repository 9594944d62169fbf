import { readFile } from 'node:fs/promises';
import { join } from 'node:path';
import { FindingsError } from '@laburnumshift/errors';
import { checkDocument, findPathPosition } from '@laburnumshift/read-settings';
import type { ConfigSegment, Finding } from '@laburnumshift/types';
import { checkSegments } from './check-segments.js';
import { collectFiles } from './collect-files.js';
import { DECLARATION_SCHEMA } from './declaration-schema.js';

/**
 * Largest segment, bytes of JSON. A segment is stored as one value on the platform, which accepts values up to 1 MB; the
 * remainder is reserved for the envelope around the segment.
 */
const MAX_SEGMENT_BYTES = 900_000;

const describeError = (error: unknown): string => (error instanceof Error ? error.message : String(error));

/**
 * Reads and checks all `*.laburnum.jsonc` files below a directory. Checks across files run only when every file is valid;
 * otherwise each reference to a name declared in an invalid file would be reported as unknown.
 *
 * @param isComplete false when the directory holds only part of the configuration; checks across files are then left to
 *   publishing
 * @returns one segment per file, sorted by file path
 * @throws {FindingsError} with the findings of all files; also when the directory cannot be read or has no declaration
 *   file
 */
export async function checkDeclarations(
  directory: string,
  isComplete = true,
): Promise<readonly ConfigSegment[]> {
  const files = await collectFiles(directory).catch((error: unknown) => {
    const message = `cannot read the directory: ${describeError(error)}`;
    throw new FindingsError([{ file: directory, line: 0, column: 0, path: '', message }]);
  });
  if (files.length === 0) {
    const message = 'there is no *.laburnum.jsonc file below this directory';
    throw new FindingsError([{ file: directory, line: 0, column: 0, path: '', message }]);
  }
  const findings: Finding[] = [];
  const segments: ConfigSegment[] = [];
  const texts = new Map<string, string>();
  for (const file of files) {
    const addFinding = (message: string): void => {
      findings.push({ file, line: 1, column: 1, path: '', message });
    };
    try {
      const text = await readFile(join(directory, file), 'utf8');
      texts.set(file, text);
      const checked = checkDocument(file, text, DECLARATION_SCHEMA);
      findings.push(...checked.findings);
      if (checked.value === undefined) continue;
      const segment = { file, ...checked.value };
      segments.push(segment);
      if (Buffer.byteLength(JSON.stringify(segment)) > MAX_SEGMENT_BYTES) {
        addFinding(`the file is too large; split it below ${String(MAX_SEGMENT_BYTES)} bytes`);
      }
    } catch (error) {
      addFinding(`cannot read the file: ${describeError(error)}`);
    }
  }
  if (isComplete && segments.length === files.length) {
    const findPosition = (file: string, path: readonly PropertyKey[]): { line: number; column: number } =>
      findPathPosition(texts.get(file) ?? '', path);
    findings.push(...checkSegments(segments, findPosition));
  }
  if (findings.length > 0) {
    findings.sort((a, b) => a.file.localeCompare(b.file) || a.line - b.line || a.column - b.column);
    throw new FindingsError(findings);
  }
  return segments;
}
