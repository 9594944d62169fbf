import { createRefusal } from '@laburnumshift/errors';
import { findHome } from '@laburnumshift/rank-homes';
import type { RunClaimReply, RunEnd, RunOutputItem } from '@laburnumshift/types';
import { OUTCOMES } from '@laburnumshift/types';
import { appendText } from './append-text.js';
import { createRunBuffer } from './create-run-buffer.js';
import { createRunIndex } from './create-run-index.js';
import { createFinishedRunCache } from './create-finished-run-cache.js';
import { readRemoteRun } from './read-remote-run.js';
import { handleAttachMessage } from './handle-attach-message.js';
import { notifyReaders } from './notify-readers.js';
import { readLocalRun } from './read-local-run.js';
import type { RunBuffer } from './run-buffer.js';
import type { RunRequest } from './run-request.js';
import type { RunRegistryOptions } from './run-registry-options.js';
import type { RunRegistry } from './run-registry.js';
import type { StartRun } from './start-run.js';

const FINISHED_RUN_LIFETIME_MS = 60_000;
/** 32 MiB, a quarter of the memory that a node may use for control. */
const MAX_FINISHED_BYTES = 33_554_432;
const MAX_RUN_BYTES = 8_388_608;
/**
 * Callers that lost their connection resend within seconds. A run that goes on longer without a reader only occupies a
 * slot.
 */
const ORPHAN_TIMEOUT_MS = 10_000;
/**
 * When the home node of a request id does not answer in this time, the run starts without a claim, so a resend may
 * start a second run.
 */
const CLAIM_TIMEOUT_MS = 300;
/** Number of owners that may be dead or no longer hold the run before the request runs on this node without a claim. */
const MAX_OWNERS_TRIED = 3;

/** Creates the registry of runs of this node and registers the handlers of the messages `run-claim` and `run-attach`. */
export function createRunRegistry(options: RunRegistryOptions): RunRegistry {
  const { mesh, membership, orphanTimeoutMs = ORPHAN_TIMEOUT_MS, maxRunBytes = MAX_RUN_BYTES } = options;
  const runs = new Map<string, RunBuffer>();
  const unregistered = new Set<RunBuffer>();
  const runIndex = createRunIndex(membership);
  const finishedRuns = createFinishedRunCache(
    options.finishedRunLifetimeMs ?? FINISHED_RUN_LIFETIME_MS,
    options.maxFinishedBytes ?? MAX_FINISHED_BYTES,
    (run) => {
      if (runs.get(run.key) === run) runs.delete(run.key);
    },
  );
  const counts = { started: 0, attached: 0 };

  mesh.handleMessage('run-claim', (claim) => Promise.resolve(runIndex.claimRun(claim)));
  mesh.handleMessage('run-attach', (attach) =>
    handleAttachMessage(runs.get(buildKey(attach.account, attach.requestId)), attach),
  );

  const claimRun = async (request: RunRequest, replaces: string | undefined): Promise<RunClaimReply> => {
    const { account, requestId, bodyHash } = request;
    const self = membership.getSelf();
    const indexNode = findHome(`run:${buildKey(account, requestId)}`, membership.listLiveMembers()) ?? self;
    const body = { account, requestId, host: self.host, address: self.address, bodyHash, replaces };
    const reply = await mesh.callNode(indexNode.address, 'run-claim', body, CLAIM_TIMEOUT_MS);
    return reply.ok ? reply.value : { kind: 'claimed' };
  };

  const startRun = (request: RunRequest, start: StartRun, isRegistered: boolean): RunBuffer => {
    const key = buildKey(request.account, request.requestId);
    const run = createRunBuffer(
      key,
      request.bodyHash,
      request.startOffset,
      isRegistered ? orphanTimeoutMs : 0,
    );
    if (isRegistered) runs.set(key, run);
    else unregistered.add(run);
    counts.started += 1;
    const appendToken = (text: string, reason: 'stop' | 'length' | null): void => {
      appendText(run, text, reason, maxRunBytes);
    };
    const finishRun = (end: RunEnd): void => {
      run.end = end;
      run.cancelOrphanTimer?.();
      unregistered.delete(run);
      if (isRegistered && end.kind === 'finished') finishedRuns.addRun(run);
      // A resend of a refused request starts a new run, so the refusal is given only to the readers attached now.
      else if (runs.get(key) === run) runs.delete(key);
      notifyReaders(run);
    };
    start(appendToken, run.abortController.signal).then(finishRun, (error: unknown) => {
      finishRun(refuse('internal', `the run failed: ${String(error)}`, OUTCOMES.unknown));
    });
    return run;
  };

  async function* attachRun(
    request: RunRequest,
    start: StartRun,
    signal: AbortSignal,
  ): AsyncGenerator<RunOutputItem, void> {
    const { startOffset, hasCallerId } = request;
    const key = buildKey(request.account, request.requestId);
    let replaces: string | undefined;
    for (let ownersTried = 0; hasCallerId && ownersTried < MAX_OWNERS_TRIED; ownersTried += 1) {
      const claim: RunClaimReply = runs.has(key) ? { kind: 'claimed' } : await claimRun(request, replaces);
      if (signal.aborted) return;
      const run = runs.get(key);
      if (claim.kind === 'body-differs' || (run && run.bodyHash !== request.bodyHash)) {
        yield {
          kind: 'end',
          end: refuse('request_id_reused', 'the id was used for another request', OUTCOMES.notRun),
        };
        return;
      }
      if (run !== undefined) {
        // The buffer has dropped output that this reader needs, so the request runs again without a claim.
        if (startOffset < run.base) break;
        counts.attached += 1;
        yield* readLocalRun(run, startOffset, signal);
        return;
      }
      if (claim.kind === 'claimed') {
        yield* readLocalRun(startRun(request, start, true), startOffset, signal);
        return;
      }
      counts.attached += 1;
      const remoteRead = yield* readRemoteRun(mesh, claim.address, request, signal);
      if (remoteRead.ended) return;
      if (remoteRead.offset > startOffset) {
        // A second run may produce other tokens, so its output must not continue that of the first.
        yield { kind: 'end', end: refuse('backend_failed', 'the node of the run is gone', OUTCOMES.ran, 0) };
        return;
      }
      replaces = claim.address;
    }
    yield* readLocalRun(startRun(request, start, false), startOffset, signal);
  }

  return {
    attachRun,
    getCounts: () => ({
      running: runs.size + unregistered.size - finishedRuns.countRuns(),
      kept: finishedRuns.countRuns(),
      keptBytes: finishedRuns.countBytes(),
      ...counts,
    }),
    close: () => {
      finishedRuns.close();
      for (const run of [...runs.values(), ...unregistered]) {
        run.cancelOrphanTimer?.();
        run.abortController.abort();
      }
    },
  };
}

function buildKey(account: string, requestId: string): string {
  return JSON.stringify([account, requestId]);
}

function refuse(...refusal: Parameters<typeof createRefusal>): RunEnd {
  return { kind: 'refused', refusal: createRefusal(...refusal) };
}
