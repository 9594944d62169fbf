import type { HttpPool } from '@laburnumshift/call-store';
import { renderPeerError } from '@laburnumshift/errors';
import type { EngineOrder, OrderResult } from '@laburnumshift/types';
import { match } from 'ts-pattern';
import { z } from 'zod';

const staleSchema = z.object({ error: z.literal('stale_fencing'), last_fencing: z.number().int() });

/** Sends an order. Anything but a clear answer is `unknown`: the engine may have taken it. */
export async function sendOrder(pool: HttpPool, order: EngineOrder, limitMs: number): Promise<OrderResult> {
  const answer = await pool.callPeer({ method: 'POST', path: '/orders', body: order, limitMs });
  if (!answer.ok) return { kind: 'unknown', detail: renderPeerError(answer.error) };
  const { status, body } = answer.value;
  return match<number, OrderResult>(status)
    .with(200, () => ({ kind: 'accepted' }))
    .with(410, () => ({ kind: 'deadline-passed' }))
    .otherwise(() => {
      const stale = staleSchema.safeParse(body);
      return status === 409 && stale.success
        ? { kind: 'stale-fencing', lastFencing: stale.data.last_fencing }
        : { kind: 'unknown', detail: `status ${String(status)}` };
    });
}
