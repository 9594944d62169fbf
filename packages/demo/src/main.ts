import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { sleep } from '@laburnumshift/clock';
import type { DemoContext } from './demo-context.js';
import type { DemoFigures } from './demo-figures.js';
import { findBroken } from './find-broken.js';
import { runSite } from './run-site.js';
import { renderTable } from './render-table.js';
import { runBookings } from './run-bookings.js';
import { runReturningPrompt } from './run-returning-prompt.js';
import { runUrgentCalls } from './run-urgent-calls.js';
import { startSite } from './start-site.js';
import { stopSite } from './stop-site.js';

/** The cell homes read load and cache events for this long before the first request. */
const SETTLE_MS = 1_500;

function report(text: string): void {
  process.stdout.write(`${text}\n`);
}

async function runDemo(directory: string): Promise<DemoFigures> {
  const site = await startSite(directory, report);
  const context: DemoContext = {
    daemons: site.daemons,
    getReport: async () => (await site.fakes.ask({ kind: 'get-report' }, 'report')).report,
  };
  try {
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
    await stopSite(site);
  }
}

async function runInTemporaryDirectory(): Promise<void> {
  const directory = await mkdtemp(join(tmpdir(), 'laburnumshift-demo-'));
  try {
    const figures = await runDemo(directory);
    report(renderTable(figures));
    report(JSON.stringify(figures));
    process.exitCode = figures.broken.length === 0 ? 0 : 1;
  } finally {
    await rm(directory, { recursive: true, force: true });
  }
}

const { values } = parseArgs({ options: { keep: { type: 'string' } } });
await (values.keep === undefined ? runInTemporaryDirectory() : runSite(values.keep, report));
