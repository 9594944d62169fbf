import test from 'ava';
import { chooseCandidateCells, createLocalPlacer, splitPoolIntoCells } from '@laburnumshift/manage-cell';
import { installClock } from '@laburnumshift/test-utils';
import type { BackendServer, PoolConfig } from '@laburnumshift/types';
import { createRequest } from './fakes.js';

const createServers = (count: number): BackendServer[] =>
  Array.from({ length: count }, (_, index) => ({
    name: `e${String(index)}`,
    url: `http://e${String(index)}`,
    failureDomain: 'd',
    checksFencing: true,
    slots: 4,
    prefillTokensPerSecond: 10_000,
    decodeTokensPerSecond: 50,
  }));

// Also checks that prompts are spread evenly over cells.
test('cells hold at most 24 servers, no server is lost, and few servers move when one leaves', (t) => {
  const servers = createServers(100);
  const cells = splitPoolIntoCells('p', servers);
  t.is(cells.flat().length, 100);
  t.true(cells.every((cell) => cell.length <= 24));
  const findCell = (split: BackendServer[][], name: string): number =>
    split.findIndex((cell) => cell.some((server) => server.name === name));
  const next = splitPoolIntoCells('p', servers.slice(1));
  const moved = servers.slice(1).filter(({ name }) => findCell(cells, name) !== findCell(next, name));
  t.true(moved.length <= 10);
  const used = Array.from({ length: 2000 }, (_, index) =>
    chooseCandidateCells('p', `chain-${String(index)}`, 5),
  );
  for (let cell = 0; cell < 5; cell += 1) {
    t.true(Math.abs(used.filter(({ first }) => first === cell).length - 400) < 80);
    t.true(Math.abs(used.filter(({ spill }) => spill === cell).length - 400) < 80);
  }
  t.not(chooseCandidateCells('p', 'chain', 5).first, chooseCandidateCells('p', 'chain', 5).spill);
  t.is(chooseCandidateCells('p', 'chain', 1).spill, undefined);
});

test.serial('the local placer spreads requests and avoids failed and leaving engines', (t) => {
  const clock = installClock();
  t.teardown(() => {
    clock.uninstall();
  });
  const servers = createServers(4);
  const pool: PoolConfig = {
    name: 'p',
    kind: 'model',
    servers,
    stores: [],
    weightVersion: 'v1',
    adapters: [],
    pieceTokens: 2000,
    pieceBytes: 1,
    urgentSlots: 0,
  };
  const placer = createLocalPlacer();
  placer.setLeavingServers(new Set(['e0']));
  placer.reportFailure('e1');
  const chosen = new Set<string>();
  for (let i = 0; i < 4; i += 1) {
    const request = createRequest();
    const reply = placer.place(request, pool, servers);
    if (reply.kind !== 'granted') throw new Error(reply.kind);
    t.like(reply.grant, { weightVersion: 'v1', imports: [] });
    placer.registerRun(request.requestId, reply.grant.engine);
    chosen.add(reply.grant.engine);
  }
  t.deepEqual([...chosen].sort(), ['e2', 'e3']);
  t.is(placer.place(createRequest({ exclude: ['e2', 'e3'] }), pool, servers).kind, 'refused');
  clock.tick(600);
  t.is(placer.place(createRequest({ exclude: ['e2', 'e3'] }), pool, servers).kind, 'granted');
});
