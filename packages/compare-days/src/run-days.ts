import { spawn } from 'node:child_process';
import { readdir, readFile } from 'node:fs/promises';
import path from 'node:path';
import { decodeEntry } from './decode-entry.js';
import type { DayResult } from './day-result.js';

interface RunOptions {
  /** Path of the executable of the bench. */
  readonly bench: string;
  /** Path of the site file. */
  readonly site: string;
  readonly days: readonly string[];
  /** Directory of the repository to run; the bench writes its entries into `journal/` below it. */
  readonly root: string;
  /** Reason for the run, recorded by the bench. */
  readonly reason: string;
  readonly onOutput: (text: string) => void;
}

const runBench = (options: RunOptions, day: string): Promise<void> =>
  new Promise((resolve, reject) => {
    const child = spawn(options.bench, ['run', options.site, day, '--why', options.reason], {
      cwd: options.root,
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    for (const stream of [child.stdout, child.stderr])
      stream.setEncoding('utf8').on('data', options.onOutput);
    child.on('error', reject);
    // The exit code is ignored: it is not 0 when a rule was broken, and the journal entry lists the broken rules.
    child.on('close', () => {
      resolve();
    });
  });

const listEntries = async (root: string): Promise<string[]> => {
  const names = await readdir(path.join(root, 'journal')).catch(() => []);
  return names.filter((name) => name.endsWith('.json')).sort();
};

/**
 * Runs days of a site sequentially and returns their results from the journal entries that each run adds.
 *
 * @throws the error of the process when the bench cannot be started, and the errors of `decodeEntry`
 */
export async function runDays(options: RunOptions): Promise<DayResult[]> {
  const played: DayResult[] = [];
  for (const day of options.days) {
    const existing = new Set(await listEntries(options.root));
    await runBench(options, day);
    const added = (await listEntries(options.root)).filter((name) => !existing.has(name));
    for (const name of added) {
      const entry = decodeEntry(await readFile(path.join(options.root, 'journal', name), 'utf8'));
      played.push(...entry.filter((one) => one.day === day));
    }
  }
  return played;
}
