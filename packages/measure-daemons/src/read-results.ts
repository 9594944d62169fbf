import { readdir, readFile } from 'node:fs/promises';
import { join } from 'node:path';
import type { DaemonResult } from './daemon-result.js';

/** Reads the results of a directory in order of their names. */
export async function readResults(directory: string): Promise<readonly DaemonResult[]> {
  const names = (await readdir(directory)).filter((name) => name.endsWith('.json')).sort();
  const texts = await Promise.all(names.map((name) => readFile(join(directory, name), 'utf8')));
  return texts.map((text) => JSON.parse(text) as DaemonResult);
}
