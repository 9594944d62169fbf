import type { HttpPool } from '@laburnumshift/call-store';
import type { CacheEvent } from '@laburnumshift/types';
import { z } from 'zod';
import { streamLines } from './stream-lines.js';

const eventSchema = z.object({
  seq: z.number().int().min(0),
  at: z.number(),
  type: z.enum(['stored', 'evicted']),
  scope: z.string(),
  chain: z.string(),
});

function parseEvent(data: string): CacheEvent | undefined {
  try {
    return eventSchema.safeParse(JSON.parse(data)).data;
  } catch {
    return undefined;
  }
}

/** Yields cache events until the signal aborts, the connection fails or is silent, or an event is malformed. */
export async function* watchEvents(
  pool: HttpPool,
  maxLineBytes: number,
  openLimitMs: number,
  silenceMs: number,
  since: number,
  signal: AbortSignal,
): AsyncGenerator<CacheEvent> {
  const path = `/kv/events?since=${String(since)}`;
  const opened = await pool.openAnswer({ method: 'GET', path, limitMs: openLimitMs, signal });
  if (!opened.ok) return;
  const response = opened.value;
  try {
    if (response.statusCode !== 200) return;
    for await (const item of streamLines(response, maxLineBytes, () => silenceMs, signal)) {
      const event = item.kind === 'data' ? parseEvent(item.data) : undefined;
      if (event === undefined) return;
      yield event;
    }
  } finally {
    response.destroy();
  }
}
