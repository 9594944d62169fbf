import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { clearTimeout, setTimeout } from 'node:timers';

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

export async function waitFor(what, condition, ms = 15_000) {
  const untilMs = Date.now() + ms;
  for (;;) {
    const value = await condition();
    if (value) return value;
    if (Date.now() > untilMs) throw new Error(`waited too long for ${what}`);
    await sleep(5);
  }
}

/** Whether the case plays its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

/**
 * Runs a case: `play({ folder, record, onEnd })` returns whether the rule was broken. Writes `record.txt` into `caseFolder` and exits
 * with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
 */
export async function runCase(caseFolder, play) {
  const folder = mkdtempSync(path.join(tmpdir(), 'review-case-'));
  const lines = [];
  const startedMs = Date.now();
  const record = (text) =>
    lines.push(`${((Date.now() - startedMs) / 1000).toFixed(3).padStart(8)} s  ${text}`);
  const ends = [];
  let code = 2;
  const limit = setTimeout(() => finish('the case took too long'), 110_000);
  const finish = (problem) => {
    clearTimeout(limit);
    if (problem !== undefined) record(`could not run: ${problem}`);
    for (const end of ends.reverse()) {
      try {
        end();
      } catch (error) {
        record(`cleaning up: ${String(error)}`);
      }
    }
    record(['the rule held', 'the rule was broken', 'the case could not run'][code]);
    writeFileSync(path.join(caseFolder, 'record.txt'), `${lines.join('\n')}\n`);
    if (process.env.KEEP_LOGS === undefined) rmSync(folder, { recursive: true, force: true });
    else console.log(`logs: ${folder}`);
    console.log(lines.at(-1).trim());
    process.exit(code);
  };
  record(`trouble: ${hasTrouble ? 'yes' : 'no'}`);
  try {
    code = (await play({ folder, record, onEnd: (end) => ends.push(end) })) ? 1 : 0;
    finish();
  } catch (error) {
    code = 2;
    finish(error.stack ?? String(error));
  }
}
