import { sleep } from '@laburnumshift/clock';
import type { NodeMesh, RunItem } from '@laburnumshift/types';
import type { RunOpening } from './run-opening.js';

/** One poll at the owner; short enough that a dead owner is noticed about as fast as membership does. */
const POLL_WAIT_MS = 1_000;
const POLL_GRACE_MS = 500;
const MAX_FAILURES = 3;
const FAILURE_PAUSE_MS = 200;

/**
 * Follows a run on the node that owns it.
 *
 * @returns the offset reached and whether the end was seen; without it the owner is gone or no longer knows the run
 */
export async function* attachRemote(
  mesh: NodeMesh,
  address: string,
  opening: RunOpening,
  signal: AbortSignal,
): AsyncGenerator<RunItem, { readonly ended: boolean; readonly offset: number }> {
  const { account, requestId } = opening;
  let offset = opening.startOffset;
  let failures = 0;
  while (!signal.aborted && failures < MAX_FAILURES) {
    const body = { account, requestId, offset, waitMs: POLL_WAIT_MS };
    const reply = await mesh.callNode(address, 'run-attach', body, POLL_WAIT_MS + POLL_GRACE_MS);
    if (!reply.ok) {
      failures += 1;
      await sleep(FAILURE_PAUSE_MS, signal);
      continue;
    }
    const chunk = reply.value;
    if (chunk.kind === 'absent') break;
    failures = 0;
    // A reply that does not continue where this reader stands would leave a gap.
    if (chunk.offset !== offset) break;
    const reason = chunk.end?.kind === 'finished' ? chunk.end.reason : null;
    for (const [index, text] of chunk.texts.entries()) {
      const isLast = index === chunk.texts.length - 1;
      yield { kind: 'token', offset, text, finishReason: isLast ? reason : null };
      offset += 1;
    }
    if (chunk.end !== undefined) {
      yield { kind: 'end', end: chunk.end };
      return { ended: true, offset };
    }
  }
  return { ended: signal.aborted, offset };
}
