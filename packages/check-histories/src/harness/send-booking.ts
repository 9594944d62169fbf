import { readMonotonicMs, waitWithTimeout } from '@laburnumshift/clock';
import type { CallerResult } from '../history/caller-result.js';
import type { ACCOUNTS } from './accounts.js';
import { CALLER_LIMIT_MS } from './caller-limit-ms.js';
import type { RunContext } from './run-context.js';
import { toCallerResult } from './to-caller-result.js';

/** A booking to be sent. */
interface BookingCall {
  readonly account: (typeof ACCOUNTS)[number];
  readonly service: string;
  readonly key: string;
  readonly issuedAtMs: number;
  readonly body: string;
}

/** Sends a booking through a node and records it; `undefined` when no node is in service. */
export async function sendBooking(
  context: RunContext,
  node: number,
  call: BookingCall,
): Promise<{ readonly result: CallerResult } | undefined> {
  const entry = context.fleet.pickNode(node);
  if (entry === undefined) return undefined;
  const { account, service, key, issuedAtMs, body } = call;
  const startMs = readMonotonicMs();
  const client = context.clients.getClient(entry, account.key);
  const sent = client.call({ service, path: '/bookings', body, key, issuedAtMs });
  const answer = await waitWithTimeout(sent, CALLER_LIMIT_MS);
  const result: CallerResult =
    answer === undefined
      ? { kind: 'gave-up' }
      : toCallerResult(answer.kind === 'failed' ? answer.error : undefined);
  context.bookings.push({
    account: account.name,
    node: entry.life.node,
    key,
    startMs,
    endMs: readMonotonicMs(),
    result,
    service,
    body,
    answer: answer?.kind === 'answered' ? answer.body : undefined,
  });
  return { result };
}
