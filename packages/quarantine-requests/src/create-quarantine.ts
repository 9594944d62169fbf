import { readMonotonicMs, readWallMs, runEvery, waitWithTimeout } from '@laburnumshift/clock';
import { createLogger } from '@laburnumshift/logger';
import type { Quarantine, SuspectDecision } from '@laburnumshift/types';
import { applyPlatformEvents } from './apply-platform-events.js';
import { BoundedMap } from './bounded-map.js';
import { createQuarantineReplicas } from './create-quarantine-replicas.js';
import { decideClaim } from './decide-claim.js';
import { deleteStoredCopy } from './delete-stored-copy.js';
import { expireEntries } from './expire-entries.js';
import { loadStoredCopies } from './load-stored-copies.js';
import type { QuarantineOptions } from './quarantine-options.js';
import type { QuarantineTables } from './quarantine-tables.js';
import { writeStoredCopy } from './write-stored-copy.js';

/** A request is sent again within minutes; after a longer time, requests would be isolated because of crashes long ago. */
const DEFAULT_SUSPECT_MS = 600_000;
const DEFAULT_CONVICTION_MS = 600_000;
/** Maximum number of suspects, and of convictions; about 4 MB. Both are rare. */
const MAX_ENTRIES = 10_000;
/**
 * Timeout of a claim. Each request waits for the answer, which takes a few milliseconds; after its home has died, it waits for the
 * timeout until the home is no longer a live member.
 */
const CLAIM_TIMEOUT_MS = 60;
/** Half of the claim timeout, so that the home answers a claim in time when its successor is dead. */
const REPLICATION_WAIT_MS = 30;
const RENEWAL_INTERVAL_MS = 3_000;
const EXPIRY_INTERVAL_MS = 30_000;
/** Maximum wait for the platform before a request continues, so that a slow platform does not delay requests that crash nothing. */
const PLATFORM_WAIT_MS = 300;

const logger = createLogger('quarantine');

/**
 * Creates the quarantine of this node and registers the handlers of the messages `suspect`, `convict`, `clear` and
 * `suspect-claim`. Section 6.9 of the design page describes the protocol.
 */
export function createQuarantine(options: QuarantineOptions): Quarantine {
  const {
    mesh,
    membership,
    platform,
    suspectTtlMs: suspectMs = DEFAULT_SUSPECT_MS,
    convictionTtlMs: convictionMs = DEFAULT_CONVICTION_MS,
  } = options;
  const tables: QuarantineTables = {
    suspects: new BoundedMap(MAX_ENTRIES),
    convictions: new BoundedMap(MAX_ENTRIES),
  };
  const { suspects, convictions } = tables;
  const replicas = createQuarantineReplicas(mesh, membership, tables);
  /** Claims that runs on this node hold, by fingerprint, with the function that stops the renewal. */
  const heldClaims = new Map<string, { readonly requestId: string; readonly stopRenewal: () => void }>();
  let isLoaded = false;

  const findConviction = (fingerprint: string): number | undefined => {
    const untilMs = convictions.get(fingerprint)?.untilMs;
    return untilMs !== undefined && untilMs > readWallMs() ? untilMs : undefined;
  };

  const addConviction = (fingerprint: string, untilMs: number): void => {
    suspects.delete(fingerprint);
    convictions.set(fingerprint, { untilMs });
  };

  const createFailureLogger = (operation: string) => (error: unknown) => {
    logger.warn(`${operation} failed`, { error: String(error) });
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
    // The claim is replicated before the answer, so that the other replica permits no second run when this node dies.
    if (decision.kind === 'isolate')
      await waitWithTimeout(replicas.sendSuspect(fingerprint), REPLICATION_WAIT_MS);
    return decision;
  });

  const claimRun = async (fingerprint: string, requestId: string): Promise<SuspectDecision | undefined> => {
    const claim = { fingerprint, requestId, host: membership.getSelf().host };
    for (const member of replicas.listReplicas(fingerprint)) {
      const reply = await mesh.callNode(member.address, 'suspect-claim', claim, CLAIM_TIMEOUT_MS);
      if (reply.ok) return reply.value;
    }
    return undefined;
  };

  const askReplicas = async (fingerprint: string, requestId: string): Promise<SuspectDecision> => {
    let decision = await claimRun(fingerprint, requestId);
    if (decision?.kind === 'clean' && suspects.has(fingerprint)) {
      // The replicas lost the suspect, which this node still has.
      await replicas.sendSuspect(fingerprint);
      decision = (await claimRun(fingerprint, requestId)) ?? decision;
    }
    if (decision !== undefined) return decision;
    const stored = await waitWithTimeout(
      platform.readObject('suspect', fingerprint, 'status'),
      PLATFORM_WAIT_MS,
    );
    const isSuspect = suspects.has(fingerprint) || stored?.kind === 'found';
    return { kind: isSuspect ? 'isolate' : 'clean' };
  };

  const holdClaim = (fingerprint: string, requestId: string): void => {
    heldClaims.get(fingerprint)?.stopRenewal();
    const renewClaim = async (): Promise<void> => {
      if (heldClaims.get(fingerprint)?.requestId === requestId) await claimRun(fingerprint, requestId);
    };
    // The first renewal runs at once and renews the claim that was just granted.
    const stopRenewal = runEvery(RENEWAL_INTERVAL_MS, renewClaim, createFailureLogger('a claim renewal'));
    heldClaims.set(fingerprint, { requestId, stopRenewal });
  };

  const releaseRequest = (fingerprint: string, requestId: string): boolean => {
    const claim = heldClaims.get(fingerprint);
    if (claim?.requestId !== requestId) return false;
    claim.stopRenewal();
    heldClaims.delete(fingerprint);
    return true;
  };

  const convictRequest = async (fingerprint: string): Promise<void> => {
    const untilMs = readWallMs() + convictionMs;
    const version = suspects.get(fingerprint)?.version;
    addConviction(fingerprint, untilMs);
    logger.warn('a request crashed a second engine and is refused until the time in untilMs', {
      fingerprint,
      untilMs,
    });
    const notice = { fingerprint, untilMs };
    const storing = writeStoredCopy(platform, 'conviction', fingerprint, { untilMs });
    const replicating = replicas.sendAll(replicas.listReplicas(fingerprint), 'convict', notice);
    replicas
      .sendAll(membership.listLiveMembers(), 'convict', notice)
      .catch(createFailureLogger('the gossip of a conviction'));
    await Promise.all([replicating, waitWithTimeout(storing, PLATFORM_WAIT_MS)]);
    deleteStoredCopy(platform, 'suspect', fingerprint, version).catch(createFailureLogger('a deletion'));
  };

  const addSuspect = async (fingerprint: string, engine: string, pool: string): Promise<void> => {
    const notice = { fingerprint, engine, pool, atMs: readWallMs() };
    const known = suspects.get(fingerprint);
    suspects.set(fingerprint, { ...known, notice });
    const storing = writeStoredCopy(platform, 'suspect', fingerprint, { engine, pool, atMs: notice.atMs });
    const recording = storing.then((version) => {
      const entry = suspects.get(fingerprint);
      if (entry !== undefined && version !== undefined) entry.version = version;
    });
    await Promise.all([replicas.sendSuspect(fingerprint), waitWithTimeout(recording, PLATFORM_WAIT_MS)]);
  };

  const stopWatches = (['suspect', 'conviction'] as const).map((kind) =>
    platform.watchObjects(kind, (events) => {
      applyPlatformEvents(tables, kind, events);
    }),
  );
  const stopSweep = runEvery(
    EXPIRY_INTERVAL_MS,
    async () => {
      isLoaded ||= await loadStoredCopies(platform, tables);
      await expireEntries(tables, membership, platform, suspectMs, readWallMs());
    },
    createFailureLogger('a sweep'),
  );

  return {
    checkRequest: async (fingerprint, requestId) => {
      const untilMs = findConviction(fingerprint);
      if (untilMs !== undefined) return { kind: 'convicted', untilMs };
      const decision = await askReplicas(fingerprint, requestId);
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
      replicas
        .sendAll(replicas.listReplicas(fingerprint), 'clear', { fingerprint })
        .then(() => deleteStoredCopy(platform, 'suspect', fingerprint, version))
        .catch(createFailureLogger('clearing a request'));
    },
    releaseRequest,
    isConvicted: (fingerprint) => findConviction(fingerprint) !== undefined,
    close: () => {
      stopSweep();
      replicas.close();
      for (const stop of stopWatches) stop();
      for (const { stopRenewal } of heldClaims.values()) stopRenewal();
      heldClaims.clear();
    },
  };
}
