import { randomInt, randomUUID } from 'node:crypto';
import { recordChange } from '@laburnumshift/audit-changes';
import { readWallMs, sleep } from '@laburnumshift/clock';
import type { AuditRecord, ConfigHead, PlatformClient } from '@laburnumshift/types';
import { deleteUnusedSegments } from './delete-unused-segments.js';
import { CONFIG_KINDS } from './config-kinds.js';
import { ensureSegments } from './ensure-segments.js';
import type { FileChange } from './file-change.js';
import type { HeadMove } from './head-move.js';
import { planHead } from './plan-head.js';
import type { PublishResult } from './publish-result.js';
import { readGeneration } from './read-generation.js';
import { readHead } from './read-head.js';
import { recordGeneration } from './record-generation.js';
import { resolveHead } from './resolve-head.js';

/** Rounds against other publishers; at 200 publishes a minute a second round is rare. */
const MAX_ROUNDS = 30;
const CONFLICT_PAUSE_MS = 20;
/** Generations between two cleanups. */
const CLEAN_EVERY = 100;

const buildRefusal = (message: string): PublishResult => ({
  kind: 'refused',
  findings: [{ file: '', line: 0, column: 0, path: '', message }],
});

/**
 * Moves the head by conditional update, one generation at a time. A lost answer is resolved through the current head and
 * the history; a lost race leads to another round on the winner's head. Accepted and refused changes are recorded.
 */
export async function moveHead(platform: PlatformClient, move: HeadMove): Promise<PublishResult> {
  const changeId = randomUUID();
  const startedAtMs = readWallMs();

  const recordMove = (
    fromGeneration: number,
    files: readonly FileChange[],
    rest: Pick<AuditRecord, 'result' | 'detail' | 'toGeneration'>,
    atMs = startedAtMs,
  ): Promise<boolean> =>
    recordChange(platform, {
      changeId,
      atMs,
      author: move.author,
      action: move.action,
      fromGeneration,
      files,
      ...rest,
    });

  const finishMove = async (head: ConfigHead, files: readonly FileChange[]): Promise<PublishResult> => {
    const { generation, publishedAtMs } = head;
    const rest = { result: 'accepted', toGeneration: generation, detail: '' } as const;
    await recordMove(generation - 1, files, rest, publishedAtMs);
    if (generation % CLEAN_EVERY === 0) await deleteUnusedSegments(platform);
    return { kind: 'published', head, files };
  };

  let base: ConfigHead | undefined;
  for (let round = 0; round < MAX_ROUNDS; round += 1) {
    if (round > 0) await sleep(randomInt(CONFLICT_PAUSE_MS * Math.min(round, 8)) + 1);
    const current = await readHead(platform);
    if (current.kind === 'unavailable') return current;
    const { generation } = current.head;
    if (base === undefined) {
      if (move.baseGeneration === undefined || move.baseGeneration === generation) {
        base = current.head;
      } else {
        const kept = await readGeneration(platform, move.baseGeneration);
        if (kept.kind === 'unavailable') return kept;
        if (kept.kind === 'absent') {
          return buildRefusal(`the base generation ${String(move.baseGeneration)} is not known`);
        }
        base = kept.head;
      }
    }

    const plan = await planHead(platform, move, base, current.head);
    if (plan.kind === 'unavailable') return plan;
    if (plan.kind === 'unchanged') return { kind: 'unchanged', generation };
    if (plan.kind === 'refused') {
      const detail = plan.findings
        .map(({ file, path, message }) => `${file}: ${path}: ${message}`)
        .join('; ');
      await recordMove(generation, plan.files, { result: 'refused', detail: detail.slice(0, 4000) });
      return { kind: 'refused', findings: plan.findings };
    }

    const hashes = plan.files.flatMap(({ file }) => plan.segments[file] ?? []);
    const needed = new Map([...move.contents].filter(([hash]) => hashes.includes(hash)));
    const failure =
      (await ensureSegments(platform, current.head, needed, changeId)) ??
      (await recordGeneration(platform, current.head));
    if (failure !== undefined) return failure;

    const head: ConfigHead = {
      generation: generation + 1,
      changeId,
      author: move.author,
      publishedAtMs: readWallMs(),
      segments: plan.segments,
    };
    const { head: kind, headName } = CONFIG_KINDS;
    const result = await platform.writeObject(kind, headName, head, current.version, changeId, 'config');
    if (result.kind === 'written') return finishMove(head, plan.files);
    if (result.kind === 'unavailable') return result;
    if (result.kind === 'too-large') {
      await recordMove(generation, plan.files, { result: 'refused', detail: 'the head is over 1 MB' });
      return buildRefusal('the list of files is over 1 MB; put several services into one file');
    }
    if (result.kind === 'unknown') {
      const resolved = await resolveHead(platform, head);
      if (resolved === 'applied') return finishMove(head, plan.files);
      if (resolved === 'open') {
        await recordMove(generation, plan.files, { result: 'unknown', detail: result.detail });
        return { kind: 'unknown', changeId, detail: result.detail };
      }
    }
  }
  return { kind: 'unavailable', detail: 'other publishers moved the head too often; nothing was published' };
}
