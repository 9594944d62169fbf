import type { HttpPool } from '@laburnumshift/call-store';
import type { CacheEvent } from '@laburnumshift/types';
import { z } from 'zod';
import { readSseData } from './read-sse-data.js';

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

/**
 * Yields cache events until the signal aborts, the connection fails, no event arrives for `idleTimeoutMs`, or an event is
 * malformed. It then returns without an error.
 */
export async function* watchEvents(
  pool: HttpPool,
  maxLineBytes: number,
  openTimeoutMs: number,
  idleTimeoutMs: number,
  since: number,
  signal: AbortSignal,
): AsyncGenerator<CacheEvent> {
  const path = `/kv/events?since=${String(since)}`;
  const opened = await pool.openResponse({ method: 'GET', path, timeoutMs: openTimeoutMs, signal });
  if (!opened.ok) return;
  const response = opened.value;
  try {
    if (response.statusCode !== 200) return;
    for await (const item of readSseData(response, maxLineBytes, () => idleTimeoutMs, signal)) {
      const event = item.kind === 'data' ? parseEvent(item.data) : undefined;
      if (event === undefined) return;
      yield event;
    }
  } finally {
    response.destroy();
  }
}
