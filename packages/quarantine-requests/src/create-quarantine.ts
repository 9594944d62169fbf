import { readMonotonicMs, readWallMs, runEvery, waitWithTimeout } from '@laburnumshift/clock';
import { createLogger } from '@laburnumshift/logger';
import type { Quarantine, SuspectDecision } from '@laburnumshift/types';
import { applyLasting } from './apply-lasting.js';
import { BoundedMap } from './bounded-map.js';
import { createKeepers } from './create-keepers.js';
import { decideClaim } from './decide-claim.js';
import { deleteLasting } from './delete-lasting.js';
import { expireEntries } from './expire-entries.js';
import { loadLasting } from './load-lasting.js';
import type { QuarantineOptions } from './quarantine-options.js';
import type { SuspectTables } from './suspect-tables.js';
import { writeLasting } from './write-lasting.js';

/** Resends of one request come within minutes; a longer memory would isolate requests for old crashes. */
const SUSPECT_MS = 600_000;
const CONVICTION_MS = 600_000;
/** Some 4 MB; suspects and convictions are rare. */
const MAX_ENTRIES = 10_000;
/** Every request waits for this answer, which takes a few milliseconds; a home that died is waited for until it is out. */
const CLAIM_TIMEOUT_MS = 60;
/** Half of the claimer's patience, so that a dead successor does not make the home seem dead. */
const COPY_WAIT_MS = 30;
const RENEW_MS = 3_000;
const SWEEP_MS = 30_000;
/** Wait for the lasting copy before the request may go on; a slow platform must not hold back innocents. */
const LASTING_WAIT_MS = 300;

const logger = createLogger('quarantine');

/**
 * Creates the quarantine of this node (section 6.9 of the design page) and registers the messages `suspect`, `convict`,
 * `clear` and `suspect-claim`.
 */
export function createQuarantine(options: QuarantineOptions): Quarantine {
  const { mesh, membership, platform, suspectMs = SUSPECT_MS, convictionMs = CONVICTION_MS } = options;
  const tables: SuspectTables = {
    suspects: new BoundedMap(MAX_ENTRIES),
    convictions: new BoundedMap(MAX_ENTRIES),
  };
  const { suspects, convictions } = tables;
  const keepers = createKeepers(mesh, membership, tables);
  /** Claims that runs of this node hold, with the function that stops their renewal. */
  const held = new Map<string, { readonly requestId: string; readonly stopRenewal: () => void }>();
  let loaded = false;

  const findConviction = (fingerprint: string): number | undefined => {
    const untilMs = convictions.get(fingerprint)?.untilMs;
    return untilMs !== undefined && untilMs > readWallMs() ? untilMs : undefined;
  };

  const addConviction = (fingerprint: string, untilMs: number): void => {
    suspects.delete(fingerprint);
    convictions.set(fingerprint, { untilMs });
  };

  const refuseFailure = (what: string) => (error: unknown) => {
    logger.warn(`${what} failed`, { error: String(error) });
  };

  mesh.handleMessage('suspect', ({ claim, ...notice }) => {
    const entry = suspects.get(notice.fingerprint) ?? { notice };
    if (claim) {
      const { requestId, host, leaseMs } = claim;
      entry.claim = { requestId, host, untilMs: readMonotonicMs() + leaseMs };
    }
    if (findConviction(notice.fingerprint) === undefined) suspects.set(notice.fingerprint, entry);
    return Promise.resolve(null);
  });
  mesh.handleMessage('convict', ({ fingerprint, untilMs }) => {
    addConviction(fingerprint, untilMs);
    return Promise.resolve(null);
  });
  mesh.handleMessage('clear', ({ fingerprint }) => {
    suspects.delete(fingerprint);
    return Promise.resolve(null);
  });
  mesh.handleMessage('suspect-claim', async (claim) => {
    const { fingerprint } = claim;
    const entry = suspects.get(fingerprint);
    const decision = decideClaim(entry, findConviction(fingerprint), claim, readMonotonicMs());
    // The other keeper learns of the claim first, so that it permits no second run when this node dies.
    if (decision.kind === 'isolate') await waitWithTimeout(keepers.sendSuspect(fingerprint), COPY_WAIT_MS);
    return decision;
  });

  const claimRun = async (fingerprint: string, requestId: string): Promise<SuspectDecision | undefined> => {
    const claim = { fingerprint, requestId, host: membership.getSelf().host };
    for (const member of keepers.listKeepers(fingerprint)) {
      const reply = await mesh.callNode(member.address, 'suspect-claim', claim, CLAIM_TIMEOUT_MS);
      if (reply.ok) return reply.value;
    }
    return undefined;
  };

  const askKeepers = async (fingerprint: string, requestId: string): Promise<SuspectDecision> => {
    let decision = await claimRun(fingerprint, requestId);
    if (decision?.kind === 'clean' && suspects.has(fingerprint)) {
      // The keepers lost what this node still knows.
      await keepers.sendSuspect(fingerprint);
      decision = (await claimRun(fingerprint, requestId)) ?? decision;
    }
    if (decision !== undefined) return decision;
    const read = await waitWithTimeout(
      platform.readObject('suspect', fingerprint, 'status'),
      LASTING_WAIT_MS,
    );
    const isSuspect = suspects.has(fingerprint) || read?.kind === 'found';
    return { kind: isSuspect ? 'isolate' : 'clean' };
  };

  const holdClaim = (fingerprint: string, requestId: string): void => {
    held.get(fingerprint)?.stopRenewal();
    const renewClaim = async (): Promise<void> => {
      if (held.get(fingerprint)?.requestId === requestId) await claimRun(fingerprint, requestId);
    };
    // The first round comes at once and finds the claim that was just taken.
    const stopRenewal = runEvery(RENEW_MS, renewClaim, refuseFailure('a claim renewal'));
    held.set(fingerprint, { requestId, stopRenewal });
  };

  const releaseRequest = (fingerprint: string, requestId: string): boolean => {
    const claim = held.get(fingerprint);
    if (claim?.requestId !== requestId) return false;
    claim.stopRenewal();
    held.delete(fingerprint);
    return true;
  };

  const convictRequest = async (fingerprint: string): Promise<void> => {
    const untilMs = readWallMs() + convictionMs;
    const version = suspects.get(fingerprint)?.version;
    addConviction(fingerprint, untilMs);
    logger.warn('a request crashed a second engine and is refused for a while', { fingerprint, untilMs });
    const notice = { fingerprint, untilMs };
    const writing = writeLasting(platform, 'conviction', fingerprint, { untilMs });
    const keeping = keepers.sendAll(keepers.listKeepers(fingerprint), 'convict', notice);
    keepers
      .sendAll(membership.listLive(), 'convict', notice)
      .catch(refuseFailure('the gossip of a conviction'));
    await Promise.all([keeping, waitWithTimeout(writing, LASTING_WAIT_MS)]);
    deleteLasting(platform, 'suspect', fingerprint, version).catch(refuseFailure('a deletion'));
  };

  const addSuspect = async (fingerprint: string, engine: string, pool: string): Promise<void> => {
    const notice = { fingerprint, engine, pool, atMs: readWallMs() };
    const known = suspects.get(fingerprint);
    suspects.set(fingerprint, { ...known, notice });
    const writing = writeLasting(platform, 'suspect', fingerprint, { engine, pool, atMs: notice.atMs });
    const storing = writing.then((version) => {
      const entry = suspects.get(fingerprint);
      if (entry !== undefined && version !== undefined) entry.version = version;
    });
    await Promise.all([keepers.sendSuspect(fingerprint), waitWithTimeout(storing, LASTING_WAIT_MS)]);
  };

  const stopWatches = (['suspect', 'conviction'] as const).map((kind) =>
    platform.watchObjects(kind, (events) => {
      applyLasting(tables, kind, events);
    }),
  );
  const stopSweep = runEvery(
    SWEEP_MS,
    async () => {
      loaded ||= await loadLasting(platform, tables);
      await expireEntries(tables, membership, platform, suspectMs, readWallMs());
    },
    refuseFailure('a sweep'),
  );

  return {
    checkRequest: async (fingerprint, requestId) => {
      const untilMs = findConviction(fingerprint);
      if (untilMs !== undefined) return { kind: 'convicted', untilMs };
      const decision = await askKeepers(fingerprint, requestId);
      if (decision.kind === 'convicted') addConviction(fingerprint, decision.untilMs);
      if (decision.kind === 'isolate') holdClaim(fingerprint, requestId);
      return decision;
    },
    reportCrash: async (fingerprint, engine, pool, isolated) => {
      await (isolated ? convictRequest(fingerprint) : addSuspect(fingerprint, engine, pool));
    },
    reportFinish: (fingerprint, requestId) => {
      if (!releaseRequest(fingerprint, requestId)) return;
      const version = suspects.get(fingerprint)?.version;
      suspects.delete(fingerprint);
      keepers
        .sendAll(keepers.listKeepers(fingerprint), 'clear', { fingerprint })
        .then(() => deleteLasting(platform, 'suspect', fingerprint, version))
        .catch(refuseFailure('clearing a request'));
    },
    releaseRequest,
    isConvicted: (fingerprint) => findConviction(fingerprint) !== undefined,
    close: () => {
      stopSweep();
      keepers.close();
      for (const stop of stopWatches) stop();
      for (const { stopRenewal } of held.values()) stopRenewal();
      held.clear();
    },
  };
}
