import { sleep } from '@laburnumshift/clock';
import type { NodeMesh, RunOutputItem } from '@laburnumshift/types';
import type { RunRequest } from './run-request.js';

/** Duration of one poll at the owner; short enough to notice a dead owner about as fast as the membership does. */
const POLL_WAIT_MS = 1_000;
const POLL_TIMEOUT_SLACK_MS = 500;
const MAX_FAILURES = 3;
const RETRY_DELAY_MS = 200;

/**
 * Reads the output of a run from the node that owns it, by polling.
 *
 * @param address mesh address of the owner
 * @returns the next offset, and whether the reading is complete: the end was read or the signal aborted. Otherwise the
 *   owner did not answer three polls in a row, no longer holds the run or replied with another offset.
 */
export async function* readRemoteRun(
  mesh: NodeMesh,
  address: string,
  request: RunRequest,
  signal: AbortSignal,
): AsyncGenerator<RunOutputItem, { readonly ended: boolean; readonly offset: number }> {
  const { account, requestId } = request;
  let offset = request.startOffset;
  let failures = 0;
  while (!signal.aborted && failures < MAX_FAILURES) {
    const body = { account, requestId, offset, waitMs: POLL_WAIT_MS };
    const reply = await mesh.callNode(address, 'run-attach', body, POLL_WAIT_MS + POLL_TIMEOUT_SLACK_MS);
    if (!reply.ok) {
      failures += 1;
      await sleep(RETRY_DELAY_MS, signal);
      continue;
    }
    const chunk = reply.value;
    if (chunk.kind === 'absent') break;
    failures = 0;
    // A reply from another offset would leave a gap or repeat tokens.
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
