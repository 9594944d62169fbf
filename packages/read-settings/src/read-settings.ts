import { readFile } from 'node:fs/promises';
import { FindingsError } from '@laburnumshift/errors';
import type { NodeSettings } from '@laburnumshift/types';
import { checkDocument } from './check-document.js';
import { SETTINGS_SCHEMA } from './settings-schema.js';

/**
 * Reads the settings of a daemon from a file in JSON with comments. `host`, `failureDomain`, `mesh`, `platformUrl` and
 * `meshSecret` are required; all other settings are optional.
 *
 * @throws {FindingsError} with all findings of the file, or with one at line 0 when the file cannot be read
 */
export async function readSettings(file: string): Promise<NodeSettings> {
  const text = await readFile(file, 'utf8').catch((error: unknown) => {
    const message = `cannot read the file: ${error instanceof Error ? error.message : String(error)}`;
    throw new FindingsError([{ file, line: 0, column: 0, path: '', message }]);
  });
  const { value, findings } = checkDocument(file, text, SETTINGS_SCHEMA);
  if (value === undefined) throw new FindingsError(findings);
  return value;
}
