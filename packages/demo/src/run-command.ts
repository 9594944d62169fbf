import { execFile } from 'node:child_process';
import { promisify } from 'node:util';
import { COMMAND_LINE } from './command-line.js';

const execute = promisify(execFile);

/** Runs a `laburnumshift` command; rejects with its output when it fails. */
export async function runCommand(...args: readonly string[]): Promise<string> {
  const { stdout } = await execute(process.execPath, [COMMAND_LINE, ...args]);
  return stdout;
}
