import { parseHead, parseSegment } from '@laburnumshift/check-declarations';
import type { ConfigHead, ConfigSegment, NodeMessages } from '@laburnumshift/types';

/** Accepts a peer's `config-get` reply; segments whose content has another hash are left out. */
export function parseUpdate(
  reply: NodeMessages['config-get']['reply'],
): { readonly head: ConfigHead; readonly segments: ReadonlyMap<string, ConfigSegment> } | undefined {
  const head = parseHead(reply?.head);
  if (reply === null || head === undefined) return undefined;
  const segments = new Map<string, ConfigSegment>();
  for (const [hash, value] of Object.entries(reply.segments)) {
    const segment = parseSegment(value, hash);
    if (segment !== undefined) segments.set(hash, segment);
  }
  return { head, segments };
}
