import type { ImportRef } from '@laburnumshift/types';
import { computeChecksum } from '../store/compute-checksum.js';
import type { CachedBlock } from './cached-block.js';
import { callHttp } from './call-http.js';
import { createLimit } from './create-limit.js';
import type { EngineState } from './engine-state.js';
import { pieceContentSchema } from './piece-content-schema.js';
import { pieceMetaSchema } from './piece-meta-schema.js';

/** How long the store protects the piece; longer than any import. */
const PIN_TTL_MS = 10_000;

/** Time for giving the pin back; an unreachable store lets it expire. */
const UNPIN_LIMIT_MS = 1_000;

/** Compares what the store says of the piece with what the request expects. */
function isExpected(answer: Buffer, ref: ImportRef, weightVersion: string): boolean {
  const meta = pieceMetaSchema.parse(JSON.parse(answer.toString()));
  const same =
    meta.generation === ref.generation && meta.length === ref.length && meta.checksum === ref.checksum;
  return same && meta.weight_version === weightVersion;
}

async function releasePin(state: EngineState, base: string): Promise<void> {
  const limit = createLimit(UNPIN_LIMIT_MS);
  await callHttp(state.agent, 'POST', `${base}/unpin`, limit.signal).catch(() => undefined);
  limit.stop();
}

async function fetchBlock(
  state: EngineState,
  ref: ImportRef,
  scope: string,
  weightVersion: string,
  signal: AbortSignal,
): Promise<CachedBlock | undefined> {
  const base = `${ref.url}/pieces/${encodeURIComponent(ref.key)}`;
  const pin = await callHttp(state.agent, 'POST', `${base}/pin`, signal, { ttlMs: PIN_TTL_MS });
  if (pin.status !== 200) return undefined;
  try {
    if (!isExpected(pin.body, ref, weightVersion)) return undefined;
    const { bytes } = pieceMetaSchema.parse(JSON.parse(pin.body.toString()));
    const read = await callHttp(state.agent, 'GET', `${base}?generation=${String(ref.generation)}`, signal);
    state.counters.importedBytes += bytes;
    const agrees =
      read.status === 200 &&
      read.headers['x-generation'] === String(ref.generation) &&
      read.headers['x-length'] === String(ref.length) &&
      read.headers['x-checksum'] === ref.checksum &&
      read.headers['x-weight-version'] === weightVersion &&
      read.body.length === ref.length &&
      computeChecksum(read.body) === ref.checksum;
    if (!agrees) return undefined;
    // The generation is read after the body: a piece that was freed or rewritten during the transfer is a miss.
    const meta = await callHttp(state.agent, 'GET', `${base}/meta`, signal);
    if (meta.status !== 200 || !isExpected(meta.body, ref, weightVersion)) return undefined;
    const content = pieceContentSchema.parse(JSON.parse(read.body.toString()));
    const named = content.scope === scope && content.chain === ref.chain;
    if (!named || content.weight_version !== weightVersion) return undefined;
    return { scope, chain: ref.chain, bytes, weightVersion, text: content.text };
  } finally {
    void releasePin(state, base);
  }
}

/** Imports a piece with all checks; `undefined` is a miss, and the piece has to be computed. */
export async function importPiece(
  state: EngineState,
  ref: ImportRef,
  scope: string,
  weightVersion: string,
  signal: AbortSignal,
): Promise<CachedBlock | undefined> {
  try {
    const block = await fetchBlock(state, ref, scope, weightVersion, signal);
    if (block === undefined) state.counters.importMisses += 1;
    return block;
  } catch {
    state.counters.importMisses += 1;
    // Idle connections may be silent; the next import uses fresh ones.
    for (const sockets of Object.values(state.agent.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
    return undefined;
  }
}
