import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { sleep } from '@laburnumshift/clock';
import type { DemoContext } from './demo-context.js';
import type { DemoFigures } from './demo-figures.js';
import { writeDeclarations } from './write-declarations.js';
import { findBroken } from './find-broken.js';
import { renderTable } from './render-table.js';
import { runBookings } from './run-bookings.js';
import { runCommand } from './run-command.js';
import { runReturningPrompt } from './run-returning-prompt.js';
import { runUrgentCalls } from './run-urgent-calls.js';
import { startDaemon } from './start-daemon.js';
import { startFakes } from './start-fakes.js';

const EXAMPLES = fileURLToPath(new URL('../../../../examples', import.meta.url));
const DAEMONS = 3;
/** The cell homes read load and cache events for this long before the first request. */
const SETTLE_MS = 1_500;

function report(text: string): void {
  process.stdout.write(`${text}\n`);
}

async function runDemo(directory: string): Promise<DemoFigures> {
  const fakes = startFakes();
  const context: DemoContext = {
    daemons: [],
    getReport: async () => (await fakes.ask({ kind: 'get-report' }, 'report')).report,
  };
  try {
    report('Starting the fakes and the daemons.');
    const { platformUrl, addresses } = await fakes.ask({ kind: 'start', directory: EXAMPLES }, 'started');
    const declarations = join(directory, 'declarations');
    await writeDeclarations(EXAMPLES, declarations, new Map(Object.entries(addresses)));
    for (let i = 0; i < DAEMONS; i += 1) {
      const domain = `domain-${String(i % 3)}`;
      context.daemons.push(await startDaemon(directory, `entry-${String(i + 1)}`, domain, platformUrl));
    }
    const nodes = context.daemons.map(({ host, failureDomain, meshAddress }) => ({
      host,
      kind: 'node' as const,
      failureDomain,
      state: 'live' as const,
      address: meshAddress,
    }));
    await fakes.ask({ kind: 'set-nodes', nodes }, 'done');
    report('Publishing the example declarations.');
    const node = context.daemons[0]?.operatorsUrl ?? '';
    await runCommand('publish', declarations, '--platform', platformUrl, '--author', 'demo', '--node', node);
    await sleep(SETTLE_MS);
    report('Running a long prompt, others that evict it, and the same prompt again.');
    const returning = await runReturningPrompt(context);
    report('Running urgent calls beside long ones.');
    const urgent = await runUrgentCalls(context);
    report('Sending a booking twice, and another one again after a daemon was killed.');
    const bookings = await runBookings(context);
    const { linkBytes, wrongBlocks } = await context.getReport();
    const figures = { ...returning, ...urgent, ...bookings, linkBytes, wrongBlocks };
    return { ...figures, broken: findBroken(figures) };
  } finally {
    await Promise.all(context.daemons.map((daemon) => daemon.stop('SIGTERM')));
    fakes.stop();
  }
}

const directory = await mkdtemp(join(tmpdir(), 'laburnumshift-demo-'));
try {
  const figures = await runDemo(directory);
  report(renderTable(figures));
  report(JSON.stringify(figures));
  process.exitCode = figures.broken.length === 0 ? 0 : 1;
} finally {
  await rm(directory, { recursive: true, force: true });
}
