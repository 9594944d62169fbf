import { randomInt, randomUUID } from 'node:crypto';
import { writeAuditRecord } from '@laburnumshift/audit-changes';
import { readWallMs, sleep } from '@laburnumshift/clock';
import type { AuditRecord, ConfigHead, PlatformClient } from '@laburnumshift/types';
import { deleteUnusedSegments } from './delete-unused-segments.js';
import { CONFIG_KINDS } from './config-kinds.js';
import { ensureSegments } from './ensure-segments.js';
import type { FileChange } from './file-change.js';
import type { HeadUpdate } from './head-update.js';
import { planHead } from './plan-head.js';
import type { PublishResult } from './publish-result.js';
import { readGeneration } from './read-generation.js';
import { readHead } from './read-head.js';
import { recordGeneration } from './record-generation.js';
import { resolveHeadWrite } from './resolve-head-write.js';

/** Limit on the attempts after conflicts with other publishers. At 200 publishes a minute a second attempt is rare. */
const MAX_ATTEMPTS = 30;
/**
 * Unit of the random backoff after a conflict, milliseconds. The longest backoff grows by one unit with each attempt,
 * to 8 units.
 */
const CONFLICT_BACKOFF_MS = 20;
/** Number of generations between two cleanups. */
const CLEANUP_INTERVAL = 100;

const buildRefusal = (message: string): PublishResult => ({
  kind: 'refused',
  findings: [{ file: '', line: 0, column: 0, path: '', message }],
});

/**
 * Replaces the head by a conditional update with the next generation. After a lost response, the current head and the
 * history show whether the update took effect. After a conflict the update is retried on the head of the other
 * publisher. Accepted, refused and unresolved updates are recorded in the audit trail.
 */
export async function updateHead(platform: PlatformClient, update: HeadUpdate): Promise<PublishResult> {
  const changeId = randomUUID();
  const startedAtMs = readWallMs();

  const recordUpdate = (
    fromGeneration: number,
    files: readonly FileChange[],
    rest: Pick<AuditRecord, 'result' | 'detail' | 'toGeneration'>,
    atMs = startedAtMs,
  ): Promise<boolean> =>
    writeAuditRecord(platform, {
      changeId,
      atMs,
      author: update.author,
      action: update.action,
      fromGeneration,
      files,
      ...rest,
    });

  const finishUpdate = async (head: ConfigHead, files: readonly FileChange[]): Promise<PublishResult> => {
    const { generation, publishedAtMs } = head;
    const rest = { result: 'accepted', toGeneration: generation, detail: '' } as const;
    await recordUpdate(generation - 1, files, rest, publishedAtMs);
    if (generation % CLEANUP_INTERVAL === 0) await deleteUnusedSegments(platform);
    return { kind: 'published', head, files };
  };

  let base: ConfigHead | undefined;
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    if (attempt > 0) await sleep(randomInt(CONFLICT_BACKOFF_MS * Math.min(attempt, 8)) + 1);
    const current = await readHead(platform);
    if (current.kind === 'unavailable') return current;
    const { generation } = current.head;
    if (base === undefined) {
      if (update.baseGeneration === undefined || update.baseGeneration === generation) {
        base = current.head;
      } else {
        const storedBase = await readGeneration(platform, update.baseGeneration);
        if (storedBase.kind === 'unavailable') return storedBase;
        if (storedBase.kind === 'absent') {
          return buildRefusal(`the base generation ${String(update.baseGeneration)} is not known`);
        }
        base = storedBase.head;
      }
    }

    const plan = await planHead(platform, update, base, current.head);
    if (plan.kind === 'unavailable') return plan;
    if (plan.kind === 'unchanged') return { kind: 'unchanged', generation };
    if (plan.kind === 'refused') {
      const detail = plan.findings
        .map(({ file, path, message }) => `${file}: ${path}: ${message}`)
        .join('; ');
      await recordUpdate(generation, plan.files, { result: 'refused', detail: detail.slice(0, 4000) });
      return { kind: 'refused', findings: plan.findings };
    }

    const hashes = plan.files.flatMap(({ file }) => plan.segments[file] ?? []);
    const needed = new Map([...update.contents].filter(([hash]) => hashes.includes(hash)));
    const failure =
      (await ensureSegments(platform, current.head, needed, changeId)) ??
      (await recordGeneration(platform, current.head));
    if (failure !== undefined) return failure;

    const head: ConfigHead = {
      generation: generation + 1,
      changeId,
      author: update.author,
      publishedAtMs: readWallMs(),
      segments: plan.segments,
    };
    const { head: kind, headName } = CONFIG_KINDS;
    const result = await platform.writeObject(kind, headName, head, current.version, changeId, 'config');
    if (result.kind === 'written') return finishUpdate(head, plan.files);
    if (result.kind === 'unavailable') return result;
    if (result.kind === 'too-large') {
      await recordUpdate(generation, plan.files, { result: 'refused', detail: 'the head is over 1 MB' });
      return buildRefusal('the list of files is over 1 MB; put several services into one file');
    }
    if (result.kind === 'unknown') {
      const resolved = await resolveHeadWrite(platform, head);
      if (resolved === 'applied') return finishUpdate(head, plan.files);
      if (resolved === 'open') {
        await recordUpdate(generation, plan.files, { result: 'unknown', detail: result.detail });
        return { kind: 'unknown', changeId, detail: result.detail };
      }
    }
  }
  return { kind: 'unavailable', detail: 'other publishers moved the head too often; nothing was published' };
}
