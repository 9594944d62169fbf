import { parseHead, parseSegment } from '@laburnumshift/check-declarations';
import type { ConfigHead, ConfigSegment, NodeMessages } from '@laburnumshift/types';

/**
 * Parses a peer's reply to `config-get`. Segments whose content does not match their hash are omitted.
 *
 * @param localHead current head of this node, to which a partial update is applied
 * @returns the whole new head with the received segments; `undefined` when the reply is not valid, or when its base is
 *   a newer generation than that of `localHead`
 */
export function parseUpdate(
  reply: NodeMessages['config-get']['reply'],
  localHead: ConfigHead | undefined,
): { readonly head: ConfigHead; readonly segments: ReadonlyMap<string, ConfigSegment> } | undefined {
  const received = parseHead(reply?.head);
  if (reply === null || received === undefined) return undefined;
  const head =
    reply.base === undefined
      ? received
      : mergePartialHead(received, reply.base, reply.removed ?? [], localHead);
  if (head === undefined) return undefined;
  const segments = new Map<string, ConfigSegment>();
  for (const [hash, value] of Object.entries(reply.segments)) {
    const segment = parseSegment(value, hash);
    if (segment !== undefined) segments.set(hash, segment);
  }
  return { head, segments };
}

/**
 * Applies a partial update to a head. It applies to every generation from its base up to, but not including, its own.
 */
function mergePartialHead(
  head: ConfigHead,
  base: number,
  removed: readonly string[],
  localHead: ConfigHead | undefined,
): ConfigHead | undefined {
  if (localHead === undefined || localHead.generation < base || localHead.generation >= head.generation)
    return undefined;
  const removedFiles = new Set(removed);
  const kept = Object.entries(localHead.segments).filter(([file]) => !removedFiles.has(file));
  return { ...head, segments: { ...Object.fromEntries(kept), ...head.segments } };
}
