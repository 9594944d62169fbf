import { readMonotonicMs, runEvery } from '@laburnumshift/clock';
import { createLogger } from '@laburnumshift/logger';
import { findHome } from '@laburnumshift/rank-homes';
import type { CallJournal, JournalBegin, JournalDecision, JournalLook } from '@laburnumshift/types';
import { BEGIN_SCHEMA } from './begin-schema.js';
import { dropExpired } from './drop-expired.js';
import { computeCallId } from './compute-call-id.js';
import { createLocalJournal } from './create-local-journal.js';
import { DEFAULT_JOURNAL_LIMITS } from './default-journal-limits.js';
import type { JournalOptions } from './journal-options.js';

/** Attempts that ended without permission and are remembered, so that they are never started again. */
const MAX_ENDED = 10_000;

/**
 * Creates the journal of a node. Requests go to the home of the call's shard; when the home does not answer, this node
 * writes itself, which the conditional updates keep safe.
 *
 * `run` is returned at most once for an attempt id. After any other decision the attempt must not be dispatched; another
 * try needs a new attempt id. `unavailable` says that this attempt did not run; it says nothing of earlier attempts with
 * the same key.
 */
export function createCallJournal(options: JournalOptions): CallJournal {
  const limits = { ...DEFAULT_JOURNAL_LIMITS, ...options.limits };
  const { mesh, membership, platform } = options;
  const logger = createLogger('journal');
  const local = createLocalJournal(options, limits);
  const ended = new Set<string>();
  const open = new Set<string>();

  const getShardHome = (shard: number) =>
    findHome(`journal/${String(shard)}`, membership.listLive()) ?? membership.getSelf();
  const getCallHome = (call: JournalLook) =>
    getShardHome(Buffer.from(computeCallId(call), 'base64url').readUInt32BE(0) % options.shards);
  const isSelf = (host: string): boolean => host === membership.getSelf().host;

  mesh.handleMessage('journal-begin', async (body) => local.beginCall(BEGIN_SCHEMA.parse(body)));
  mesh.handleMessage('journal-finish', async (body) => ({ recorded: await local.finishCall(body) }));
  mesh.handleMessage('journal-abandon', async (body) => ({ recorded: await local.abandonCall(body) }));
  mesh.handleMessage('journal-look', (body) => local.findCall(body));

  const abandonCall: CallJournal['abandonCall'] = async (abandon) => {
    const home = getCallHome(abandon);
    if (!isSelf(home.host)) {
      const reply = await mesh.callNode(home.address, 'journal-abandon', abandon, limits.confirmMs);
      if (reply.ok && reply.value.recorded) return true;
    }
    return local.abandonCall(abandon);
  };
  const askBegin = async (begin: JournalBegin): Promise<JournalDecision> => {
    const home = getCallHome(begin);
    if (isSelf(home.host)) return local.beginCall(begin);
    const startMs = readMonotonicMs();
    const timeoutMs = begin.waitMs + limits.homeMs;
    const reply = await mesh.callNode(home.address, 'journal-begin', begin, timeoutMs);
    if (reply.ok) return reply.value;
    logger.info('writes without the home', { home: home.host, reason: reply.error.kind });
    const restMs = Math.max(0, begin.waitMs - (readMonotonicMs() - startMs));
    return local.beginCall({ ...begin, waitMs: restMs });
  };
  const markEnded = (attemptId: string): void => {
    ended.add(attemptId);
    for (const oldest of ended) {
      if (ended.size <= MAX_ENDED) break;
      ended.delete(oldest);
    }
  };

  const stopCleaning = runEvery(
    () => limits.cleanMs,
    async () => {
      for (let shard = 0; shard < options.shards; shard += 1) {
        if (!isSelf(getShardHome(shard).host)) continue;
        await dropExpired(platform, shard, options.retentionMs + 3 * limits.skewMs);
      }
    },
    (error) => {
      logger.error('deletion failed', { detail: String(error) });
    },
  );

  return {
    beginCall: async (begin) => {
      const { attemptId, account, service, key } = begin;
      if (ended.has(attemptId) || open.has(attemptId)) {
        return { kind: 'unavailable', detail: 'the attempt was asked for before' };
      }
      open.add(attemptId);
      const decision = await askBegin(begin).catch((error: unknown): JournalDecision => ({
        kind: 'unavailable',
        detail: String(error),
      }));
      markEnded(attemptId);
      open.delete(attemptId);
      // The record may be written all the same; only this node knows that the attempt is not dispatched.
      const isLost = decision.kind === 'unavailable' || decision.kind === 'expired';
      if (isLost) void abandonCall({ account, service, key, attemptId });
      return decision;
    },
    finishCall: async (finish) => {
      const home = getCallHome(finish);
      if (!isSelf(home.host)) {
        const reply = await mesh.callNode(home.address, 'journal-finish', finish, limits.confirmMs);
        if (reply.ok && reply.value.recorded) return true;
      }
      return local.finishCall(finish);
    },
    abandonCall,
    findCall: async (look) => {
      const home = getCallHome(look);
      if (isSelf(home.host)) return local.findCall(look);
      const reply = await mesh.callNode(home.address, 'journal-look', look, limits.homeMs);
      return reply.ok ? reply.value : local.findCall(look);
    },
    close: () => {
      stopCleaning();
      local.close();
      return Promise.resolve();
    },
  };
}
