import { randomUUID } from 'node:crypto';
import { createEntryClient } from '@laburnumshift/call-entry';
import { readWallMs } from '@laburnumshift/clock';
import type { DemoContext } from './demo-context.js';
import type { DemoFigures } from './demo-figures.js';
import { pickDaemon } from './pick-daemon.js';

const KEY = 'night-desk-north-demo-key';

/** Sends one booking through two daemons at once, and another one again after its daemon was killed. */
export async function runBookings(
  context: DemoContext,
): Promise<Pick<DemoFigures, 'bookingRuns' | 'bookingAfterKillRuns'>> {
  const clients = context.daemons.map((daemon) => createEntryClient(daemon.callersUrl, KEY));
  const buildCall = () => ({
    service: 'bookings',
    path: '/bookings',
    body: JSON.stringify({ walk: 'harbour', seats: 2 }),
    key: randomUUID(),
    issuedAtMs: readWallMs(),
  });
  const twice = buildCall();
  await Promise.all(clients.slice(0, 2).map((client) => client.call(twice)));

  const resent = buildCall();
  const first = clients.at(-1)?.call(resent);
  const victim = context.daemons.pop();
  await victim?.stop('SIGKILL');
  await first;
  const client = createEntryClient(pickDaemon(context, 0).callersUrl, KEY);
  await client.call(resent);
  client.close();
  for (const other of clients) other.close();
  const { runs } = await context.getReport();
  return { bookingRuns: runs[twice.key] ?? 0, bookingAfterKillRuns: runs[resent.key] ?? 0 };
}
