import type { HttpPool } from '@laburnumshift/call-store';
import { renderPeerError } from '@laburnumshift/errors';
import type { EngineOrder, OrderResult } from '@laburnumshift/types';
import { match } from 'ts-pattern';
import { z } from 'zod';

const staleFencingSchema = z.object({ error: z.literal('stale_fencing'), last_fencing: z.number().int() });

/** Sends an order once. Any failure or unexpected response gives `unknown`, because the engine may have accepted the order. */
export async function sendOrder(pool: HttpPool, order: EngineOrder, limitMs: number): Promise<OrderResult> {
  const answer = await pool.sendRequest({ method: 'POST', path: '/orders', body: order, timeoutMs: limitMs });
  if (!answer.ok) return { kind: 'unknown', detail: renderPeerError(answer.error) };
  const { status, body } = answer.value;
  return match<number, OrderResult>(status)
    .with(200, () => ({ kind: 'accepted' }))
    .with(410, () => ({ kind: 'deadline-passed' }))
    .otherwise(() => {
      const stale = staleFencingSchema.safeParse(body);
      return status === 409 && stale.success
        ? { kind: 'stale-fencing', lastFencing: stale.data.last_fencing }
        : { kind: 'unknown', detail: `status ${String(status)}` };
    });
}
