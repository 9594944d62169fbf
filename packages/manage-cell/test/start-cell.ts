import type { ExecutionContext } from 'ava';
import { computeCacheScope } from '@laburnumshift/hash-pieces';
import type { CellHome } from '@laburnumshift/manage-cell';
import { installClock } from '@laburnumshift/test-utils';
import type { EnginePlacementReply, EnginePlacementRequest, StoredPiece } from '@laburnumshift/types';
import { createCell, FakeEngine } from './fakes.js';

/** Cache scope of requests made by `createRequest` on weight version `v1`. */
export const SCOPE = computeCacheScope('a', 'm', undefined, 'v1');

/** Starts the home of a cell on a fake clock. The test's teardown closes the home and removes the clock. */
export const startCell = async (t: ExecutionContext, change: Parameters<typeof createCell>[0]) => {
  const clock = installClock();
  const cell = createCell(change);
  t.teardown(() => {
    cell.close();
    clock.uninstall();
  });
  await clock.tickAsync(10);
  const ask = async (
    request: EnginePlacementRequest,
    home: CellHome = cell,
  ): Promise<EnginePlacementReply> => {
    const reply = home.place(request);
    await clock.tickAsync(request.waitMs);
    return reply;
  };
  const askEngine = async (request: EnginePlacementRequest, home?: CellHome): Promise<string> => {
    const reply = await ask(request, home);
    return reply.kind === 'granted' ? reply.grant.engine : reply.kind;
  };
  return { cell, clock, ask, askEngine };
};
/** Creates fake engines of two slots each. */
export const createEngines = (count: number): FakeEngine[] =>
  Array.from({ length: count }, () => new FakeEngine(2));
/** Creates a stored piece in the memory tier of the store `s`. */
export const createStored = (chain: string): StoredPiece => {
  const base = { scope: SCOPE, store: 's', tier: 'memory' as const, generation: 7 };
  return { ...base, chain, length: 10, checksum: 'sum', bytes: 1e6 };
};
