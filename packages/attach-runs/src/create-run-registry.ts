import { createRefusal } from '@laburnumshift/errors';
import { findHome } from '@laburnumshift/rank-homes';
import type { RunClaimReply, RunEnd, RunItem } from '@laburnumshift/types';
import { OUTCOMES } from '@laburnumshift/types';
import { appendText } from './append-text.js';
import { createRunBuffer } from './create-run-buffer.js';
import { createRunHome } from './create-run-home.js';
import { createRunKeeper } from './create-run-keeper.js';
import { attachRemote } from './attach-remote.js';
import { handleAttach } from './handle-attach.js';
import { notifyReaders } from './notify-readers.js';
import { readRun } from './read-run.js';
import type { RunBuffer } from './run-buffer.js';
import type { RunOpening } from './run-opening.js';
import type { RunRegistryOptions } from './run-registry-options.js';
import type { RunRegistry } from './run-registry.js';
import type { StartRun } from './start-run.js';

const KEEP_MS = 60_000;
/** A quarter of the memory that a node may use for control. */
const KEEP_BYTES = 33_554_432;
const MAX_RUN_BYTES = 8_388_608;
/** Callers that lost their connection resend within seconds; longer runs without a reader would only use up slots. */
const ORPHAN_MS = 10_000;
/** A home that does not answer in this time is passed over; the resend then runs again. */
const CLAIM_TIMEOUT_MS = 300;
/** Owners that a request may find gone before it runs here without a claim. */
const MAX_OWNERS = 3;

/** Creates the registry of runs of this node and registers the messages `run-claim` and `run-attach`. */
export function createRunRegistry(options: RunRegistryOptions): RunRegistry {
  const { mesh, membership, orphanMs = ORPHAN_MS, maxRunBytes = MAX_RUN_BYTES } = options;
  const runs = new Map<string, RunBuffer>();
  const unnamed = new Set<RunBuffer>();
  const home = createRunHome(membership);
  const keeper = createRunKeeper(options.keepMs ?? KEEP_MS, options.keepBytes ?? KEEP_BYTES, (run) => {
    if (runs.get(run.key) === run) runs.delete(run.key);
  });
  const counts = { started: 0, attached: 0 };

  mesh.handleMessage('run-claim', (claim) => Promise.resolve(home.claimRun(claim)));
  mesh.handleMessage('run-attach', (attach) =>
    handleAttach(runs.get(buildKey(attach.account, attach.requestId)), attach),
  );

  const claimRun = async (opening: RunOpening, replaces: string | undefined): Promise<RunClaimReply> => {
    const { account, requestId, bodyHash } = opening;
    const self = membership.getSelf();
    const owner = findHome(`run:${buildKey(account, requestId)}`, membership.listLive()) ?? self;
    const body = { account, requestId, host: self.host, address: self.address, bodyHash, replaces };
    const reply = await mesh.callNode(owner.address, 'run-claim', body, CLAIM_TIMEOUT_MS);
    return reply.ok ? reply.value : { kind: 'claimed' };
  };

  const startRun = (opening: RunOpening, start: StartRun, registered: boolean): RunBuffer => {
    const key = buildKey(opening.account, opening.requestId);
    const run = createRunBuffer(key, opening.bodyHash, opening.startOffset, registered ? orphanMs : 0);
    if (registered) runs.set(key, run);
    else unnamed.add(run);
    counts.started += 1;
    const appendToken = (text: string, reason: 'stop' | 'length' | null): void => {
      appendText(run, text, reason, maxRunBytes);
    };
    const finishRun = (end: RunEnd): void => {
      run.end = end;
      run.cancelOrphan?.();
      unnamed.delete(run);
      if (registered && end.kind === 'finished') keeper.addRun(run);
      // A resend of a refused request is a new attempt, so only attached readers see the refusal.
      else if (runs.get(key) === run) runs.delete(key);
      notifyReaders(run);
    };
    start(appendToken, run.stopper.signal).then(finishRun, (error: unknown) => {
      finishRun(refuse('internal', `the run failed: ${String(error)}`, OUTCOMES.unknown));
    });
    return run;
  };

  async function* attachRun(
    opening: RunOpening,
    start: StartRun,
    signal: AbortSignal,
  ): AsyncGenerator<RunItem, void> {
    const { startOffset, named } = opening;
    const key = buildKey(opening.account, opening.requestId);
    let replaces: string | undefined;
    for (let owners = 0; named && owners < MAX_OWNERS; owners += 1) {
      const claim: RunClaimReply = runs.has(key) ? { kind: 'claimed' } : await claimRun(opening, replaces);
      if (signal.aborted) return;
      const run = runs.get(key);
      if (claim.kind === 'body-differs' || (run && run.bodyHash !== opening.bodyHash)) {
        yield {
          kind: 'end',
          end: refuse('request_id_reused', 'the id was used for another request', OUTCOMES.notRun),
        };
        return;
      }
      if (run !== undefined) {
        // Output before the base is gone; the request runs again without taking the id.
        if (startOffset < run.base) break;
        counts.attached += 1;
        yield* readRun(run, startOffset, signal);
        return;
      }
      if (claim.kind === 'claimed') {
        yield* readRun(startRun(opening, start, true), startOffset, signal);
        return;
      }
      counts.attached += 1;
      const followed = yield* attachRemote(mesh, claim.address, opening, signal);
      if (followed.ended) return;
      if (followed.offset > startOffset) {
        // A second run may differ from the first, so its output must not continue what was sent.
        yield { kind: 'end', end: refuse('backend_failed', 'the node of the run is gone', OUTCOMES.ran, 0) };
        return;
      }
      replaces = claim.address;
    }
    yield* readRun(startRun(opening, start, false), startOffset, signal);
  }

  return {
    attachRun,
    getCounts: () => ({
      running: runs.size + unnamed.size - keeper.countRuns(),
      kept: keeper.countRuns(),
      keptBytes: keeper.countBytes(),
      ...counts,
    }),
    close: () => {
      keeper.close();
      for (const run of [...runs.values(), ...unnamed]) {
        run.cancelOrphan?.();
        run.stopper.abort();
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
