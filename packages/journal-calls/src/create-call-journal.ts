import { readMonotonicMs, runEvery } from '@laburnumshift/clock';
import { createLogger } from '@laburnumshift/logger';
import { findHome } from '@laburnumshift/rank-homes';
import type {
  CallJournal,
  JournalBegin,
  JournalDecision,
  JournalLook,
  NodeMessages,
} from '@laburnumshift/types';
import { createAttemptGuard } from './create-attempt-guard.js';
import { dropExpired } from './drop-expired.js';
import { computeCallId } from './compute-call-id.js';
import { createKeyMemory } from './create-key-memory.js';
import { createLayout } from './create-layout.js';
import { createLocalJournal } from './create-local-journal.js';
import { DEFAULT_JOURNAL_LIMITS } from './default-journal-limits.js';
import type { JournalOptions } from './journal-options.js';
import type { LocalJournal } from './local-journal.js';

/** Messages that record the end of an attempt. */
type EndType = 'journal-finish' | 'journal-abandon' | 'journal-unknown';

/** Without the number of shards the home of a key is not known, so what it knows of the key is not known either. */
const LAYOUT_UNKNOWN: JournalDecision = {
  kind: 'unavailable',
  detail: 'the layout of the journal is not known',
  seen: true,
};

/**
 * Creates the journal of a node. Requests go to the home of the call's shard; when the home does not answer, this node
 * writes itself, which the conditional updates keep safe.
 *
 * `run` is returned at most once for an attempt id. After any other decision the attempt must not be dispatched; another
 * try needs a new attempt id. `unavailable` says that this attempt did not run; of earlier attempts with the same key
 * it says only what `seen` says.
 */
export function createCallJournal(options: JournalOptions): CallJournal {
  const limits = { ...DEFAULT_JOURNAL_LIMITS, ...options.limits };
  const { mesh, membership, platform } = options;
  const logger = createLogger('journal');
  const layout = createLayout(platform, options.shards, limits.confirmMs, logger);
  const memory = createKeyMemory();
  const attempts = createAttemptGuard();
  let opened: { readonly local: LocalJournal; readonly shards: number } | undefined;
  let closed = false;

  /** The journal of this node, once the number of shards is known. */
  const openLocal = async (): Promise<typeof opened> => {
    const shards = opened?.shards ?? (await layout.findShards());
    if (shards === undefined || closed) return undefined;
    opened ??= { local: createLocalJournal({ ...options, shards }, limits), shards };
    return opened;
  };
  const getShardHome = (shard: number) =>
    findHome(`journal/${String(shard)}`, membership.listLive()) ?? membership.getSelf();
  const getCallHome = (call: JournalLook, shards: number) =>
    getShardHome(Buffer.from(computeCallId(call), 'base64url').readUInt32BE(0) % shards);
  const isSelf = (host: string): boolean => host === membership.getSelf().host;

  const beginHere = async (begin: JournalBegin): Promise<JournalDecision> =>
    (await openLocal())?.local.beginCall(begin) ?? LAYOUT_UNKNOWN;
  const findHere = async (look: JournalLook): Promise<JournalDecision> =>
    (await openLocal())?.local.findCall(look) ?? LAYOUT_UNKNOWN;
  /** Records the end of an attempt through the home of its key, or here when the home does not confirm it. */
  const recordEnd = async <T extends EndType>(
    type: T,
    body: NodeMessages[T]['body'],
    recordHere: (local: LocalJournal) => Promise<boolean>,
  ): Promise<boolean> => {
    const open = await openLocal();
    if (open === undefined) return false;
    const home = getCallHome(body, open.shards);
    if (!isSelf(home.host)) {
      const reply = await mesh.callNode(home.address, type, body, limits.confirmMs);
      if (reply.ok && reply.value.recorded) return true;
    }
    return recordHere(open.local);
  };
  const replyRecorded = async (recordHere: (local: LocalJournal) => Promise<boolean>) => {
    const open = await openLocal();
    return { recorded: open !== undefined && (await recordHere(open.local)) };
  };

  mesh.handleMessage('journal-begin', (begin) => memory.trackBegin(begin, false, () => beginHere(begin)));
  mesh.handleMessage('journal-finish', (body) => replyRecorded((local) => local.finishCall(body)));
  mesh.handleMessage('journal-abandon', (body) => {
    memory.dropAttempt(body);
    return replyRecorded((local) => local.abandonCall(body));
  });
  mesh.handleMessage('journal-unknown', (body) => replyRecorded((local) => local.markUnknown(body)));
  mesh.handleMessage('journal-look', findHere);

  const abandonCall: CallJournal['abandonCall'] = (abandon) => {
    memory.dropAttempt(abandon);
    return recordEnd('journal-abandon', abandon, (local) => local.abandonCall(abandon));
  };
  const askBegin = async (begin: JournalBegin): Promise<JournalDecision> => {
    const startMs = readMonotonicMs();
    const open = await openLocal();
    if (open === undefined) return LAYOUT_UNKNOWN;
    const home = getCallHome(begin, open.shards);
    if (isSelf(home.host)) return open.local.beginCall(begin);
    const timeoutMs = begin.waitMs + limits.homeMs;
    const reply = await mesh.callNode(home.address, 'journal-begin', begin, timeoutMs);
    if (reply.ok) return reply.value;
    logger.info('writes without the home', { home: home.host, reason: reply.error.kind });
    const restMs = Math.max(0, begin.waitMs - (readMonotonicMs() - startMs));
    const decision = await open.local.beginCall({ ...begin, waitMs: restMs });
    // The home may know of a submission that this node has never heard of.
    return decision.kind === 'unavailable' ? { ...decision, seen: true } : decision;
  };

  const stopCleaning = runEvery(
    () => limits.cleanMs,
    async () => {
      const shards = (await openLocal())?.shards ?? 0;
      for (let shard = 0; shard < shards; shard += 1) {
        if (!isSelf(getShardHome(shard).host)) continue;
        await dropExpired(platform, shard, options.retentionMs + 3 * limits.skewMs);
      }
    },
    (error) => {
      logger.error('deletion failed', { detail: String(error) });
    },
  );
  void openLocal();

  return {
    beginCall: (begin) =>
      attempts.runOnce(begin.attemptId, async () => {
        const { attemptId, account, service, key } = begin;
        const decision = await memory.trackBegin(begin, true, () =>
          askBegin(begin).catch((error: unknown): JournalDecision => ({
            kind: 'unavailable',
            detail: String(error),
            seen: true,
          })),
        );
        // The record may be written all the same; only this node knows that the attempt is not dispatched.
        const isLost = decision.kind === 'unavailable' || decision.kind === 'expired';
        if (isLost) void abandonCall({ account, service, key, attemptId });
        return decision;
      }),
    finishCall: (finish) => recordEnd('journal-finish', finish, (local) => local.finishCall(finish)),
    abandonCall,
    markUnknown: (attempt) => recordEnd('journal-unknown', attempt, (local) => local.markUnknown(attempt)),
    findCall: async (look) => {
      const open = await openLocal();
      if (open === undefined) return LAYOUT_UNKNOWN;
      const home = getCallHome(look, open.shards);
      if (isSelf(home.host)) return open.local.findCall(look);
      const reply = await mesh.callNode(home.address, 'journal-look', look, limits.homeMs);
      return reply.ok ? reply.value : open.local.findCall(look);
    },
    close: () => {
      closed = true;
      stopCleaning();
      opened?.local.close();
      return Promise.resolve();
    },
  };
}
