import test from 'ava';
import { createEngineClient } from '@laburnumshift/call-engine';
import { computeAnswer, startFakeEngine } from '@laburnumshift/fakes/engine';
import type { PointFault, StorePoint } from '@laburnumshift/fakes/store';
import { POINT_FAULTS, startFakeStore } from '@laburnumshift/fakes/store';
import type { EngineRequest, ImportRef } from '@laburnumshift/types';
import { buildRequest } from './build-request.js';
import { collectItems } from './collect-items.js';

const OPTIONS = {
  prefillTokensPerSecond: 1e6,
  decodeTokensPerSecond: 1e4,
  pieceTokens: 10,
  importLimitMs: 150,
};

/** Long enough that a busy machine does not end a correct import; only a silent store needs the short limit. */
const IMPORT_LIMIT_MS = 20_000;
const SILENT_LIMIT_MS = 100;
/** Number of leading pieces of the prompt that the target engine computes. */
const HEAD = 3;
/** Number of the following pieces, which it imports. */
const TAIL = 5;

/** Runs the prompt on one engine and exports the pieces after the head; returns the references for an import. */
async function exportTail(storeUrl: string, request: EngineRequest): Promise<ImportRef[]> {
  const source = await startFakeEngine(OPTIONS);
  const client = createEngineClient({ url: source.url });
  await collectItems(source.url, request);
  const refs: ImportRef[] = [];
  for (const [index, { chain }] of request.pieces.entries()) {
    if (index < HEAD) continue;
    const exported = await client.exportPiece(request.cache_scope, chain, storeUrl, 'memory', 1_000);
    if (!exported.ok) throw new Error('the export failed');
    refs.push({ index, chain, url: storeUrl, key: `${request.cache_scope}:${chain}`, ...exported.value });
  }
  client.close();
  await source.close();
  return refs;
}

interface ImportOutcome {
  readonly texts: string[];
  readonly imported: number;
  readonly misses: number;
  readonly foreign: number;
}

async function runImport(
  points: Partial<Record<StorePoint, PointFault>>,
  patch: (refs: ImportRef[]) => Partial<EngineRequest> = (imports) => ({ imports }),
  importLimitMs = IMPORT_LIMIT_MS,
): Promise<ImportOutcome> {
  const store = await startFakeStore();
  const request = buildRequest();
  const refs = await exportTail(store.url, request);
  store.setFaults({ points });
  const target = await startFakeEngine({ ...OPTIONS, importLimitMs });
  const run = await collectItems(target.url, { ...request, head_pieces: HEAD, ...patch(refs) });
  const { importMisses, foreignAnswers } = target.getCounters();
  await target.close();
  await store.close();
  const first = run.items[0];
  const imported = first?.kind === 'token' ? first.token.imported_pieces : -1;
  return { texts: run.texts, imported, misses: importMisses, foreign: foreignAnswers };
}

const WHOLE = computeAnswer('model', buildRequest().prompt, 5);

/** Faults without effect at their point: the body and both checks have passed already, or the point has no such part. */
const HARMLESS: Readonly<Partial<Record<StorePoint, readonly PointFault[]>>> = {
  unpin: POINT_FAULTS,
  'read-middle': ['wrong-version'],
  'read-end': ['error', 'truncate', 'corrupt', 'wrong-version'],
};

/** Faults that may hit before or after the body has arrived completely; the answer must be correct in both cases. */
const EITHER: Readonly<Partial<Record<StorePoint, readonly PointFault[]>>> = {
  'read-end': ['cut'],
  unpin: ['die'],
};

const POINTS = ['pin', 'read-start', 'read-middle', 'read-end', 'meta', 'unpin'] as const;

for (const point of POINTS) {
  for (const fault of POINT_FAULTS) {
    test.serial(
      `guards against an answer from a freed, changed or incomplete piece: ${fault} at ${point}`,
      async (t) => {
        const harmless = HARMLESS[point]?.includes(fault) === true;
        const limitMs = fault === 'silent' && !harmless ? SILENT_LIMIT_MS : IMPORT_LIMIT_MS;
        const outcome = await runImport({ [point]: fault }, undefined, limitMs);
        t.deepEqual(outcome.texts, WHOLE);
        t.is(outcome.foreign, 0);
        if (EITHER[point]?.includes(fault) === true) return;
        t.is(outcome.imported, harmless ? TAIL : 0);
        t.is(outcome.misses, TAIL - outcome.imported);
      },
    );
  }
}

// The tests with faults would also pass if no import ever succeeded.
test.serial('guards against an import that fails without a fault', async (t) => {
  t.deepEqual(await runImport({}), { texts: WHOLE, imported: TAIL, misses: 0, foreign: 0 });
});

const STALE_REFS: Readonly<Record<string, (ref: ImportRef) => ImportRef>> = {
  'another generation': (ref) => ({ ...ref, generation: ref.generation + 1 }),
  'another length': (ref) => ({ ...ref, length: ref.length + 1 }),
  'another checksum': (ref) => ({ ...ref, checksum: 'f'.repeat(64) }),
  'an absent key': (ref) => ({ ...ref, key: 'scope:chain' }),
};

for (const [name, change] of Object.entries(STALE_REFS)) {
  test.serial(
    `guards against the import of a wrong piece through a stale reference with ${name}`,
    async (t) => {
      const outcome = await runImport({}, (refs) => ({ imports: refs.map(change) }));
      t.deepEqual(outcome, { texts: WHOLE, imported: 0, misses: TAIL, foreign: 0 });
    },
  );
}

test.serial('guards against the import of a piece of another cache scope', async (t) => {
  const outcome = await runImport({}, (refs) => ({ imports: refs, cache_scope: 'other-account' }));
  t.deepEqual(outcome, { texts: WHOLE, imported: 0, misses: TAIL, foreign: 0 });
});
