import { sleep } from '@laburnumshift/clock';
import type { Daemon } from './daemon.js';
import { runCommand } from './run-command.js';

const POLL_MS = 200;
const ATTEMPTS = 50;

/** Waits until each daemon sees all others; before that `status` would show a part of them. */
export async function waitForMembers(daemons: readonly Daemon[]): Promise<void> {
  for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
    const counts = await Promise.all(daemons.map(countMembers));
    if (counts.every((count) => count === daemons.length)) return;
    await sleep(POLL_MS);
  }
  throw new Error('the daemons do not see each other');
}

async function countMembers(daemon: Daemon): Promise<number> {
  const text = await runCommand('status', '--json', '--node', daemon.operatorsUrl);
  const { answer } = JSON.parse(text) as { answer: { nodes: readonly unknown[] } };
  return answer.nodes.length;
}
