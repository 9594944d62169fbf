import { readMoment, readMonotonicMs } from '@laburnumshift/clock';
import {
  chooseServer,
  isUsableServer,
  REFUSAL_CAUSES,
  RULED_OUT_REASONS,
  type ChoiceDeps,
} from '@laburnumshift/choose-server';
import type { BackendEntry, PlacementRequest } from '@laburnumshift/forward-types';
import { createServerTracker, createServerNotices } from '@laburnumshift/track-engines';
import { installClock } from '@laburnumshift/test-utils';
import test from 'ava';

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
  orderMark: undefined,
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
const REQUEST: PlacementRequest = {
  callId: 'c',
  service: 'm',
  prompt: PROMPT,
  cacheOwner: 'shared',
  priority: 1,
  targetMs: 500,
  remainingMs: 60_000,
  waitedMs: 0,
  bodyBytes: 0,
  failureDomain: 'north',
  isResend: false,
  excluded: [],
};
const CONFIG = {
  services: new Map([
    [
      'm',
      {
        name: 'm',
        maxConnections: 100,
        engine: { slots: 12, capacityTokens: CAPACITY_TOKENS, linkMbps: 550_000, bytesPerToken: 163_840 },
      },
    ],
  ]),
  stores: [],
};

/** Chooses while calls of this host fill the memory of every engine but `freeId`. */
const chooseWithOneFree = (freeId: string | undefined) => {
  const serverTracker = createServerTracker();
  for (const { id } of ENGINES)
    if (id !== freeId) serverTracker.beginCall(id, { uncachedTokens: 0, totalTokens: CAPACITY_TOKENS });
  return chooseServer(createDeps(serverTracker), REQUEST);
};
const createDeps = (
  serverTracker: ReturnType<typeof createServerTracker>,
  notices = createServerNotices(),
): ChoiceDeps =>
  ({
    serverTracker,
    notices,
    limits: {
      hasRoom: () => true,
      takeRoom: () => undefined,
      estimateRoom: () => ({ firstMs: 0, perCallMs: 0 }),
    },
    fleet: {
      listBackends: () => ENGINES,
      listEvacuated: () => [],
      getWeights: () => undefined,
      getConfig: () => CONFIG,
    },
    transferPlanner: {
      planFetches: () => () => ({ localTokens: 0, fetchTokens: 0, slowdown: 1, sources: [] }),
      planTransfers: () => undefined,
    },
    sharing: { getLoadOfOthers: () => NO_LOAD, countCoveredHosts: () => 80, countReportingHosts: () => 1 },
    bounds: { versionMs: 10_000 },
    pickRandom: () => 0,
    getHomeDomain: () => undefined,
  }) as unknown as ChoiceDeps;

test('a call reaches the only engine with free memory even when that engine is not among the first candidates', (t) => {
  for (const { id } of ENGINES) {
    const choice = chooseWithOneFree(id);
    t.is(choice.kind === 'server' ? choice.server.id : choice.kind, id);
  }
});

test('a call waits while all engines are full and its target latency can still be met', (t) => {
  t.is(chooseWithOneFree(undefined).kind, 'wait');
});

test('publishing a further weight version does not extend the time allowed to engines on older weights', (t) => {
  const now = readMoment();
  const createPublished = (version: number, ageMs: number) => {
    const moment = { monotonicMs: now.monotonicMs - ageMs, wallMs: now.wallMs - ageMs };
    return { model: 'model', version, learnedAt: moment, earliestPublishedAt: moment, isInitial: false };
  };
  const history = [createPublished(2, 9000), createPublished(3, 100)];
  const chooseWith = (versions: readonly number[]) => {
    const servers = versions.map((version, index) => ({
      ...ENGINES[index],
      versions: new Map([['model', version]]),
    }));
    const deps = {
      ...createDeps(createServerTracker()),
      fleet: {
        listBackends: () => servers,
        getWeights: () => history[1],
        findNextWeights: (_: string, version: number) =>
          history.find((published) => published.version > version),
        getConfig: () => CONFIG,
      },
    } as unknown as ChoiceDeps;
    return chooseServer(deps, REQUEST);
  };
  t.like(chooseWith([1]), { kind: 'refuse', reason: 'weights are being replaced' });
  const choice = chooseWith([1, 2]);
  t.is(choice.kind === 'server' ? choice.version : choice.kind, 2);
});

const collectChoices = (notices: ReturnType<typeof createServerNotices>): ReadonlySet<string> =>
  new Set(
    Array.from({ length: 200 }, () => {
      const deps = { ...createDeps(createServerTracker(), notices), pickRandom: Math.random };
      const choice = chooseServer(deps, REQUEST);
      return choice.kind === 'server' ? choice.server.id : choice.kind;
    }),
  );

test('an engine that announced that it is leaving gets no calls, but a new process with its id does', (t) => {
  const notices = createServerNotices();
  for (const { id, bornMs } of ENGINES.slice(1)) notices.markLeaving({ id, bornMs });
  notices.markLeaving({ id: 'e0', bornMs: 0 });
  t.deepEqual(collectChoices(notices), new Set(['e0']));
  notices.markLeaving({ id: 'e0', bornMs: 1 });
  t.deepEqual(collectChoices(notices), new Set(['refuse']));
});

test('an engine that is paused for this host gets no calls, and one that is paused for another host is the last choice', (t) => {
  const notices = createServerNotices();
  for (const { id, bornMs } of ENGINES.slice(2)) notices.markPaused({ id, bornMs }, 60_000);
  notices.addNotice({ server: 'e1', bornMs: 1, isLeaving: false, pauseMs: 60_000, ageMs: 0 });
  t.deepEqual(collectChoices(notices), new Set(['e0']));
  notices.markPaused({ id: 'e0', bornMs: 1 }, 60_000);
  t.deepEqual(collectChoices(notices), new Set(['e1']));
});

test('when all engines are paused, a call is refused with the time until the first pause ends', (t) => {
  const notices = createServerNotices();
  for (const [index, { id, bornMs }] of ENGINES.entries())
    notices.markPaused({ id, bornMs }, 2500 + index * 100);
  const choice = chooseServer(createDeps(createServerTracker(), notices), REQUEST);
  if (choice.kind !== 'refuse') return t.fail(choice.kind);
  t.is(choice.reason, 'all servers asked for a pause');
  t.true(choice.retryAfterMs > 2000 && choice.retryAfterMs <= 2500);
});

/** Chooses as the home host of the domain `north`; it knows engines of the domain `south` only from reports of other home hosts. */
const chooseAtHomeHost = (busy: readonly string[], changes: Partial<PlacementRequest> = {}) => {
  const serverTracker = createServerTracker();
  const servers = ENGINES.map((server, index) => ({
    ...server,
    failureDomain: index < 8 ? 'north' : 'south',
  }));
  // All 12 slots are taken, so the next call would queue.
  for (const id of busy)
    for (let call = 0; call < 12; call += 1)
      serverTracker.beginCall(id, { uncachedTokens: 4000, totalTokens: 100 });
  const deps = {
    ...createDeps(serverTracker),
    fleet: { ...createDeps(serverTracker).fleet, listBackends: () => servers },
    pickRandom: Math.random,
    getHomeDomain: () => 'north',
  } as unknown as ChoiceDeps;
  const choice = chooseServer(deps, { ...REQUEST, ...changes });
  return choice.kind === 'server' ? choice.server : undefined;
};
const NORTH = ENGINES.slice(0, 8).map(({ id }) => id);

test('a home host uses the only free engine of its failure domain although other domains have idle engines', (t) => {
  for (const free of NORTH) t.is(chooseAtHomeHost(NORTH.filter((id) => id !== free))?.id, free);
});

test('a call is sent to another failure domain when it would queue in its own', (t) => {
  const chosen = new Set(Array.from({ length: 60 }, () => chooseAtHomeHost(NORTH)?.id));
  t.true([...chosen].every((id) => id !== undefined && !NORTH.includes(id)));
  t.true(chosen.size > 10, 'simultaneous calls are spread over the remote engines');
});

test('a home host without a usable engine in its failure domain uses engines of other domains', (t) => {
  const remote = chooseAtHomeHost([], { excluded: NORTH });
  t.is(remote?.failureDomain, 'south');
});

test('calls that share a prefix queue at the engine about to prefill it while that is faster than prefilling it elsewhere', (t) => {
  const serverTracker = createServerTracker();
  const listPieces = (lastPieceId: string) => [
    { id: 'shared', tokens: 2800 },
    { id: lastPieceId, tokens: 200 },
  ];
  const transferPlanner = {
    planFetches: () => (engine: string) => ({
      localTokens: serverTracker.countCachedTokens(engine, 'model/1/shared', 'shared'),
      fetchTokens: 0,
      slowdown: 1,
      sources: [],
    }),
    planTransfers: () => undefined,
  };
  const deps = {
    ...createDeps(serverTracker),
    transferPlanner,
    getHomeDomain: () => 'north',
  } as unknown as ChoiceDeps;
  const uncached = [1, 2, 3].map((callNumber) => {
    const prompt = { ...PROMPT, pieces: listPieces(String(callNumber)) };
    const choice = chooseServer(deps, { ...REQUEST, callId: String(callNumber), prompt });
    if (choice.kind !== 'server') return choice.kind;
    // Half of the prompt is prefilled when the next call arrives.
    serverTracker.beginCall(choice.server.id, {
      uncachedTokens: choice.uncachedTokens / 2,
      totalTokens: 3000,
    });
    return `${choice.server.id} ${String(choice.uncachedTokens)}`;
  });
  const [first] = uncached[0]?.split(' ') ?? [];
  t.deepEqual(uncached, [`${String(first)} 3000`, `${String(first)} 200`, `${String(first)} 200`]);
});

test('guards against a full share of calls to a failure domain at the end of its evacuation', (t) => {
  const clock = installClock();
  const countCalls = (elapsedMs: number): number => {
    const servers = [
      { ...ENGINES[0], id: 'back', readmittedMs: readMonotonicMs() - elapsedMs },
      { ...ENGINES[1], id: 'other' },
    ];
    const calls = Array.from({ length: 400 }, (_, index) => {
      const deps = createDeps(createServerTracker());
      const fleet = { ...deps.fleet, listBackends: () => servers } as ChoiceDeps['fleet'];
      const request = { ...REQUEST, callId: `call-${String(index)}` };
      const choice = chooseServer({ ...deps, fleet, pickRandom: () => (index % 20) / 20 }, request);
      return choice.kind === 'server' && choice.server.id === 'back';
    });
    return calls.filter(Boolean).length;
  };
  const counts = [0, 1000, 2000, 3000].map(countCalls);
  clock.uninstall();
  t.is(counts[0], 0);
  for (const [index, count] of counts.entries()) t.true(index === 0 || count > (counts[index - 1] ?? 0));
});

test('calls are refused with a time when all failure domains are evacuated, also to a server that another host chose', (t) => {
  const [engine] = ENGINES;
  const evacuated = { ...engine, isEvacuated: true } as BackendEntry;
  const deps = createDeps(createServerTracker());
  const fleet = { ...deps.fleet, listBackends: () => [], listEvacuated: () => [evacuated] };
  const choice = chooseServer({ ...deps, fleet }, REQUEST);
  t.is(choice.kind === 'refuse' && choice.cause, REFUSAL_CAUSES.allEvacuated);
  t.true(choice.kind === 'refuse' && choice.retryAfterMs > 0);
  t.false(isUsableServer({ ...deps, fleet }, evacuated, undefined));
});

/** Chooses among a warm and a cold engine, whose memory is full or not. */
const chooseWithCold = (isWarmFull: boolean, engines: readonly string[], hasRoom: boolean) => {
  const serverTracker = createServerTracker();
  if (isWarmFull) serverTracker.beginCall('warm', { uncachedTokens: 0, totalTokens: CAPACITY_TOKENS });
  const servers = engines.map((id) => ({
    ...ENGINES[0],
    id,
    ...(id !== 'warm' && { coldUntilMs: Infinity }),
  }));
  const deps = createDeps(serverTracker);
  const taken: string[] = [];
  const fleet = {
    ...deps.fleet,
    listBackends: () => servers,
    getConfig: () => ({
      ...CONFIG,
      services: new Map([['m', { ...CONFIG.services.get('m'), coldPerS: 14 }]]),
    }),
  };
  const coldLimits = {
    hasRoom: () => hasRoom,
    takeRoom: ({ id }: { id: string }) => taken.push(id),
    estimateRoom: () => ({ firstMs: 70, perCallMs: 71 }),
  };
  const choice = chooseServer({ ...deps, fleet, coldLimits } as unknown as ChoiceDeps, REQUEST);
  return { choice, taken, id: choice.kind === 'server' ? choice.server.id : choice.kind };
};

test('guards against cold engines that get calls beside warm ones, or none while the warm ones are full', (t) => {
  t.is(chooseWithCold(false, ['cold', 'warm'], true).id, 'warm');
  t.is(chooseWithCold(true, ['cold', 'warm'], false).id, 'wait');
  const { id, taken } = chooseWithCold(true, ['cold', 'warm'], true);
  t.is(id, 'cold');
  t.deepEqual(taken, ['cold']);
});

test('guards against a wait without a time when all engines are cold', (t) => {
  const { choice } = chooseWithCold(false, ['cold'], false);
  t.deepEqual(choice, { kind: 'wait', room: { firstMs: 70, perCallMs: 71 } });
  t.is(chooseWithCold(false, ['cold'], true).id, 'cold');
});

const PLAIN_SERVERS = [
  { id: 'p', failureDomain: 'north' },
  { id: 'q', failureDomain: 'south' },
].map((server) => ({ ...ENGINES[0], ...server, slots: 6, versions: new Map() }));
const choosePlain = (
  serverTracker: ReturnType<typeof createServerTracker>,
  changes: Partial<ChoiceDeps> = {},
) => {
  const fleet = { listBackends: () => PLAIN_SERVERS, getConfig: () => undefined };
  const deps = { ...createDeps(serverTracker), fleet, ...changes } as unknown as ChoiceDeps;
  const choice = chooseServer(deps, { ...REQUEST, prompt: undefined, costMs: 60 });
  return choice.kind === 'server' ? choice.server.id : choice;
};
const addCalls = (serverTracker: ReturnType<typeof createServerTracker>, id: string, calls: number): void => {
  for (let call = 0; call < calls; call += 1)
    serverTracker.beginCall(id, { uncachedTokens: 0, totalTokens: 0, expectedMs: 60 });
};

test('a plain call passes over a server that refused one because its queue is full, and waits when all have', (t) => {
  const serverTracker = createServerTracker();
  const skipped: number[] = [];
  const changes = { recordFullServers: (_: string, servers: number) => skipped.push(servers) };
  addCalls(serverTracker, 'p', 27);
  addCalls(serverTracker, 'q', 26);
  t.is(choosePlain(serverTracker, changes), 'p');
  serverTracker.observeLoad('p', { running: 6, waiting: 24, slots: 6 }, true);
  t.is(choosePlain(serverTracker, changes), 'q');
  addCalls(serverTracker, 'q', 1);
  t.like(choosePlain(serverTracker, changes), { kind: 'wait', room: { firstMs: 10 } });
  t.deepEqual(skipped, [1, 2]);
});

test('a refusal with free slots, or of a server that reports no figures, makes no server count as full', (t) => {
  const serverTracker = createServerTracker();
  addCalls(serverTracker, 'p', 100);
  addCalls(serverTracker, 'q', 90);
  for (const load of [
    { running: 5, waiting: 3, slots: 6 },
    { running: 0, waiting: 0, slots: 0 },
  ])
    serverTracker.observeLoad('q', load, true);
  t.is(choosePlain(serverTracker), 'q');
});

test('servers that do not report their slowness are chosen by load, those that do by expected completion', (t) => {
  const serverTracker = createServerTracker();
  addCalls(serverTracker, 'p', 9);
  for (let call = 0; call < 6; call += 1)
    serverTracker.beginCall('q', { uncachedTokens: 0, totalTokens: 0, expectedMs: 900 });
  const load = { running: 6, waiting: 0, slots: 6 };
  t.is(choosePlain(serverTracker), 'q');
  serverTracker.observeLoad('p', { ...load, slowness: 1 });
  t.is(choosePlain(serverTracker), 'p');
});

test('the terms that are recorded of each compared server add up to the score by which it is chosen', (t) => {
  const recorded: { id: string; score: number; terms: Readonly<Record<string, number>> }[] = [];
  const trace = {
    recordRuledOut: () => undefined,
    recordScores: (candidates: typeof recorded) => recorded.push(...candidates),
  } as unknown as NonNullable<ChoiceDeps['trace']>;
  const serverTracker = createServerTracker();
  const plain = choosePlain(serverTracker, { trace });
  t.deepEqual(
    recorded.map(({ id }) => id),
    ['p', 'q'],
  );
  t.is(recorded.toSorted((a, b) => a.score - b.score)[0]?.id, plain as string);
  const engine = chooseServer({ ...createDeps(serverTracker), trace }, REQUEST);
  const engines = recorded.slice(2).toSorted((a, b) => a.score - b.score);
  t.is(engine.kind === 'server' && engine.server.id, engines[0]?.id ?? '');
  for (const { score, terms } of recorded)
    t.is(
      score,
      Object.values(terms).reduce((sum, term) => sum + term, 0),
    );
});

test('guards against an explained choice without a ruled-out server, its reason or the terms of the others', (t) => {
  const notices = createServerNotices();
  const serverTracker = createServerTracker();
  const [chosen, leaving, paused, limited, cold, avoided, excluded] = ENGINES.map((engine, index) => ({
    ...engine,
    ...(index === 4 && { coldUntilMs: Infinity }),
  }));
  if (!chosen || !leaving || !paused || !limited || !cold || !avoided || !excluded)
    throw new Error('too few servers');
  const servers = [chosen, leaving, paused, limited, cold, avoided, excluded];
  notices.markLeaving(leaving);
  notices.markPaused(paused, 5000);
  serverTracker.avoidServer(avoided.id, 5000);
  const ruledOut = new Map<string, string>();
  const rounds: (readonly { readonly id: string; readonly score: number }[])[] = [];
  const base = createDeps(serverTracker, notices);
  const config = { ...CONFIG, services: new Map([['m', { ...CONFIG.services.get('m'), coldPerS: 10 }]]) };
  const deps = {
    ...base,
    fleet: { ...base.fleet, listBackends: () => servers, getConfig: () => config },
    limits: { ...base.limits, hasRoom: ({ id }: BackendEntry) => id !== limited.id },
    coldLimits: { ...base.limits, hasRoom: () => false },
    trace: {
      recordRuledOut: (entries: readonly { readonly id: string }[], reason: string) => {
        for (const { id } of entries) ruledOut.set(id, reason);
      },
      recordScores: (scored: (typeof rounds)[number]) => rounds.push(scored),
    },
  } as unknown as ChoiceDeps;
  const choice = chooseServer(deps, { ...REQUEST, excluded: [excluded.id] });
  t.like(choice, { kind: 'server', server: { id: chosen.id } });
  const {
    leaving: isLeaving,
    paused: isPaused,
    limited: isLimited,
    coldFull,
    avoided: isAvoided,
  } = RULED_OUT_REASONS;
  t.deepEqual(
    [leaving, paused, limited, cold, avoided, excluded].map(({ id }) => ruledOut.get(id)),
    [isLeaving, isPaused, isLimited, coldFull, isAvoided, RULED_OUT_REASONS.excluded],
  );
  t.deepEqual(
    rounds.at(-1)?.map(({ id }) => id),
    [chosen.id],
  );
});
