import type { BackendEntry } from '@laburnumshift/forward-types';
import { createEngineBoard } from '@laburnumshift/track-engines';
import test from 'ava';
import { chooseServer } from '../src/choose-server.js';
import type { ForwardDeps } from '../src/forward-deps.js';
import type { ForwardJob } from '../src/forward-job.js';

const CAPACITY_TOKENS = 80_000;
const ENGINES: readonly BackendEntry[] = Array.from({ length: 40 }, (_, index) => ({
  id: `e${String(index)}`,
  service: 'm',
  address: `10.0.0.${String(index)}:80`,
  failureDomain: 'north',
  slots: 12,
  isDraining: false,
  bornMs: 1,
  versions: new Map([['model', 1]]),
  mark: undefined,
}));
const NO_LOAD = { inFlight: 0, pendingTokens: 0, heldTokens: 0 };
const PROMPT = {
  model: 'model',
  inputTokens: 3000,
  maxOutputTokens: 200,
  expectedOutputTokens: 100,
  pieces: [
    { id: 'a', tokens: 2000 },
    { id: 'own', tokens: 1000 },
  ],
};
const JOB = {
  call: { id: 'c', prompt: PROMPT },
  service: {
    name: 'm',
    engine: { slots: 12, capacityTokens: CAPACITY_TOKENS, linkMbps: 550_000, bytesPerToken: 163_840 },
  },
  route: { targetMs: 500, priority: 1 },
  account: undefined,
  arrivedMs: performance.now(),
  endsMs: performance.now() + 60_000,
} as unknown as ForwardJob;

/** All engines but one are full with calls of this host. */
const chooseWithOneFree = (freeId: string | undefined) => {
  const board = createEngineBoard();
  for (const { id } of ENGINES)
    if (id !== freeId) board.beginCall(id, { uncachedTokens: 0, totalTokens: CAPACITY_TOKENS });
  const deps = {
    board,
    fleet: { listBackends: () => ENGINES, getWeights: () => undefined, getConfig: () => undefined },
    keeper: {
      planFetches: () => () => ({ localTokens: 0, fetchTokens: 0, slowdown: 1, sources: [] }),
      planTransfers: () => undefined,
    },
    sharing: { getOthers: () => NO_LOAD, countHosts: () => 80 },
    bounds: { versionMs: 10_000 },
    failureDomain: 'north',
    pickRandom: () => 0,
  } as unknown as ForwardDeps;
  return chooseServer(deps, JOB, new Set());
};

test('a call goes to the one engine with room, also when it is not among those weighed first', (t) => {
  for (const { id } of ENGINES) {
    const choice = chooseWithOneFree(id);
    t.is(choice.kind === 'server' ? choice.server.id : choice.kind, id);
  }
});

test('a call waits when no engine has room and its target allows it', (t) => {
  t.is(chooseWithOneFree(undefined).kind, 'wait');
});
