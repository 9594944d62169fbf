import { parseHead, parseSegment } from '@laburnumshift/check-declarations';
import type { ConfigHead, ConfigSegment, NodeMessages } from '@laburnumshift/types';

/**
 * Accepts a peer's `config-get` reply; segments whose content has another hash are left out.
 *
 * @param own head in force here, which a partial update completes
 * @returns the whole new head, `undefined` when the reply is wrong or builds on a newer generation than this node's
 */
export function parseUpdate(
  reply: NodeMessages['config-get']['reply'],
  own: ConfigHead | undefined,
): { readonly head: ConfigHead; readonly segments: ReadonlyMap<string, ConfigSegment> } | undefined {
  const received = parseHead(reply?.head);
  if (reply === null || received === undefined) return undefined;
  const head =
    reply.base === undefined ? received : mergeHead(received, reply.base, reply.removed ?? [], own);
  if (head === undefined) return undefined;
  const segments = new Map<string, ConfigSegment>();
  for (const [hash, value] of Object.entries(reply.segments)) {
    const segment = parseSegment(value, hash);
    if (segment !== undefined) segments.set(hash, segment);
  }
  return { head, segments };
}

/** An update above a base fits every generation from the base up to its own. */
function mergeHead(
  head: ConfigHead,
  base: number,
  removed: readonly string[],
  own: ConfigHead | undefined,
): ConfigHead | undefined {
  if (own === undefined || own.generation < base || own.generation >= head.generation) return undefined;
  const gone = new Set(removed);
  const kept = Object.entries(own.segments).filter(([file]) => !gone.has(file));
  return { ...head, segments: { ...Object.fromEntries(kept), ...head.segments } };
}
