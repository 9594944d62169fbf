import { readFile } from 'node:fs/promises';
import { join } from 'node:path';
import { FindingsError } from '@laburnumshift/errors';
import { checkDocument, findPathPosition } from '@laburnumshift/read-settings';
import type { ConfigSegment, Finding } from '@laburnumshift/types';
import { checkSegments } from './check-segments.js';
import { collectFiles } from './collect-files.js';
import { DECLARATION_SCHEMA } from './declaration-schema.js';

/** A segment is one value of the platform, which holds up to 1 MB; the rest is left for its envelope. */
const MAX_SEGMENT_BYTES = 900_000;

const describeError = (error: unknown): string => (error instanceof Error ? error.message : String(error));

/**
 * Collects and checks all `*.laburnum.jsonc` files below a directory. References are checked only when every file can be
 * read, because a damaged file would make its names unknown.
 *
 * @param whole false when the directory holds a part of the configuration only; references are then left to publishing
 * @returns one segment per file, sorted by file
 * @throws {FindingsError} with the problems of all files together; an empty directory is one
 */
export async function checkDeclarations(directory: string, whole = true): Promise<readonly ConfigSegment[]> {
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
  if (whole && segments.length === files.length) {
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
