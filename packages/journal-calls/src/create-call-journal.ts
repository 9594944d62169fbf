import { readMonotonicMs, runEvery } from '@laburnumshift/clock';
import { createLogger } from '@laburnumshift/logger';
import { findHome } from '@laburnumshift/rank-homes';
import type {
  CallJournal,
  JournalBegin,
  JournalDecision,
  JournalLookup,
  NodeMessages,
} from '@laburnumshift/types';
import { createAttemptGuard } from './create-attempt-guard.js';
import { deleteExpiredObjects } from './delete-expired-objects.js';
import { computeCallId } from './compute-call-id.js';
import { createSubmittedKeys } from './create-submitted-keys.js';
import { createJournalLayout } from './create-journal-layout.js';
import { createLocalJournal } from './create-local-journal.js';
import { DEFAULT_JOURNAL_LIMITS } from './default-journal-limits.js';
import type { JournalOptions } from './journal-options.js';
import type { LocalJournal } from './local-journal.js';

/** Types of the messages that record the end of an attempt. */
type EndMessageType = 'journal-finish' | 'journal-abandon' | 'journal-unknown';

/**
 * Without the number of shards the home node of a key is unknown, so an earlier submission of the key cannot be
 * excluded.
 */
const LAYOUT_UNKNOWN: JournalDecision = {
  kind: 'unavailable',
  detail: 'the layout of the journal is not known',
  seen: true,
};

/**
 * Creates the call journal of a node. A request goes to the home node of the call's shard. If the home node does not
 * answer, this node writes to the platform itself; conditional updates prevent conflicting records.
 *
 * The decision `run` is returned at most once for an attempt id. After any other decision the attempt must not be
 * dispatched, and a retry needs a new attempt id. `unavailable` means that this attempt did not run; whether an earlier
 * attempt with the same key may have run is stated by `seen` only.
 */
export function createCallJournal(options: JournalOptions): CallJournal {
  const limits = { ...DEFAULT_JOURNAL_LIMITS, ...options.limits };
  const { mesh, membership, platform } = options;
  const logger = createLogger('journal');
  const layout = createJournalLayout(platform, options.shards, limits.confirmTimeoutMs, logger);
  const submittedKeys = createSubmittedKeys();
  const attempts = createAttemptGuard();
  let openedJournal: { readonly local: LocalJournal; readonly shards: number } | undefined;
  let closed = false;

  /**
   * Creates the local journal of this node when the number of shards is known; `undefined` before that and after
   * `close`.
   */
  const openLocal = async (): Promise<typeof openedJournal> => {
    const shards = openedJournal?.shards ?? (await layout.getShardCount());
    if (shards === undefined || closed) return undefined;
    openedJournal ??= { local: createLocalJournal({ ...options, shards }, limits), shards };
    return openedJournal;
  };
  const getShardHome = (shard: number) =>
    findHome(`journal/${String(shard)}`, membership.listLiveMembers()) ?? membership.getSelf();
  const getCallHome = (call: JournalLookup, shards: number) =>
    getShardHome(Buffer.from(computeCallId(call), 'base64url').readUInt32BE(0) % shards);
  const isSelf = (host: string): boolean => host === membership.getSelf().host;

  const beginLocally = async (begin: JournalBegin): Promise<JournalDecision> =>
    (await openLocal())?.local.beginCall(begin) ?? LAYOUT_UNKNOWN;
  const findLocally = async (look: JournalLookup): Promise<JournalDecision> =>
    (await openLocal())?.local.findCall(look) ?? LAYOUT_UNKNOWN;
  /**
   * Records the end of an attempt through the home node of its key, or from this node when the home does not confirm
   * it.
   */
  const recordEnd = async <T extends EndMessageType>(
    type: T,
    body: NodeMessages[T]['body'],
    recordLocally: (local: LocalJournal) => Promise<boolean>,
  ): Promise<boolean> => {
    const open = await openLocal();
    if (open === undefined) return false;
    const home = getCallHome(body, open.shards);
    if (!isSelf(home.host)) {
      const reply = await mesh.callNode(home.address, type, body, limits.confirmTimeoutMs);
      if (reply.ok && reply.value.recorded) return true;
    }
    return recordLocally(open.local);
  };
  const replyRecorded = async (recordLocally: (local: LocalJournal) => Promise<boolean>) => {
    const open = await openLocal();
    return { recorded: open !== undefined && (await recordLocally(open.local)) };
  };

  mesh.handleMessage('journal-begin', (begin) =>
    submittedKeys.trackBegin(begin, false, () => beginLocally(begin)),
  );
  mesh.handleMessage('journal-finish', (body) => replyRecorded((local) => local.finishCall(body)));
  mesh.handleMessage('journal-abandon', (body) => {
    submittedKeys.removeAttempt(body);
    return replyRecorded((local) => local.abandonCall(body));
  });
  mesh.handleMessage('journal-unknown', (body) => replyRecorded((local) => local.markUnknown(body)));
  mesh.handleMessage('journal-look', findLocally);

  const abandonCall: CallJournal['abandonCall'] = (abandon) => {
    submittedKeys.removeAttempt(abandon);
    return recordEnd('journal-abandon', abandon, (local) => local.abandonCall(abandon));
  };
  const beginAtHome = async (begin: JournalBegin): Promise<JournalDecision> => {
    const startMs = readMonotonicMs();
    const open = await openLocal();
    if (open === undefined) return LAYOUT_UNKNOWN;
    const home = getCallHome(begin, open.shards);
    if (isSelf(home.host)) return open.local.beginCall(begin);
    const timeoutMs = begin.waitMs + limits.homeTimeoutMs;
    const reply = await mesh.callNode(home.address, 'journal-begin', begin, timeoutMs);
    if (reply.ok) return reply.value;
    logger.info('home node did not answer; writing the record from this node', {
      home: home.host,
      reason: reply.error.kind,
    });
    const remainingMs = Math.max(0, begin.waitMs - (readMonotonicMs() - startMs));
    const decision = await open.local.beginCall({ ...begin, waitMs: remainingMs });
    // The home node may have received the key from another node, so an earlier submission cannot be excluded.
    return decision.kind === 'unavailable' ? { ...decision, seen: true } : decision;
  };

  const stopCleanup = runEvery(
    () => limits.cleanupIntervalMs,
    async () => {
      const shards = (await openLocal())?.shards ?? 0;
      for (let shard = 0; shard < shards; shard += 1) {
        if (!isSelf(getShardHome(shard).host)) continue;
        await deleteExpiredObjects(platform, shard, options.retentionMs + 3 * limits.maxClockSkewMs);
      }
    },
    (error) => {
      logger.error('cannot delete expired journal objects', { detail: String(error) });
    },
  );
  void openLocal();

  return {
    beginCall: (begin) =>
      attempts.runOnce(begin.attemptId, async () => {
        const { attemptId, account, service, key } = begin;
        const decision = await submittedKeys.trackBegin(begin, true, () =>
          beginAtHome(begin).catch((error: unknown): JournalDecision => ({
            kind: 'unavailable',
            detail: String(error),
            seen: true,
          })),
        );
        // The `started` record may still be written, and only this node knows that the attempt is not dispatched.
        const mustAbandon = decision.kind === 'unavailable' || decision.kind === 'expired';
        if (mustAbandon) void abandonCall({ account, service, key, attemptId });
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
      const reply = await mesh.callNode(home.address, 'journal-look', look, limits.homeTimeoutMs);
      return reply.ok ? reply.value : open.local.findCall(look);
    },
    close: () => {
      closed = true;
      stopCleanup();
      openedJournal?.local.close();
      return Promise.resolve();
    },
  };
}
