import { z } from 'zod';
import { computeChecksum } from '../store/compute-checksum.js';
import { callHttp } from './call-http.js';
import { createLimit } from './create-limit.js';
import type { EngineState } from './engine-state.js';
import { exportSchema } from './export-schema.js';

/** An export that takes longer is given up. */
const EXPORT_LIMIT_MS = 30_000;

const generationSchema = z.object({ generation: z.number() });

/** Puts and commits a cached piece; returns status and body of the answer. */
export async function exportPiece(
  state: EngineState,
  order: z.infer<typeof exportSchema>,
): Promise<{ status: number; value: unknown }> {
  const { scope, chain, url, key, tier, bytes } = order;
  const block = state.boot.cache.findBlock(scope, chain);
  if (block === undefined) return { status: 404, value: { error: 'not_cached' } };
  const { weightVersion, text } = block;
  const body = Buffer.from(JSON.stringify({ scope, chain, weight_version: weightVersion, text }));
  const size = bytes ?? block.bytes;
  const base = `${url}/pieces/${encodeURIComponent(key)}`;
  const limit = createLimit(EXPORT_LIMIT_MS, state.boot.stopper.signal);
  const { signal } = limit;
  try {
    const target = `${base}?tier=${tier}&size=${String(size)}`;
    const put = await callHttp(state.agent, 'PUT', target, signal, body, {
      'x-weight-version': weightVersion,
    });
    if (put.status !== 200) return { status: put.status, value: { error: 'put_refused' } };
    state.counters.exportedBytes += size;
    const { generation } = generationSchema.parse(JSON.parse(put.body.toString()));
    const checksum = computeChecksum(body);
    const piece = { generation, length: body.length, checksum };
    const commit = await callHttp(state.agent, 'POST', `${base}/commit`, signal, piece);
    if (commit.status !== 200) return { status: commit.status, value: { error: 'commit_refused' } };
    return { status: 200, value: { length: body.length, checksum, generation } };
  } catch {
    return { status: 502, value: { error: 'store_failed' } };
  } finally {
    limit.stop();
  }
}
