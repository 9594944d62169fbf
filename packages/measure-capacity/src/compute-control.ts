import type { Cost } from './cost.js';
import type { Duty } from './duty.js';
import type { Lookup } from './lookup.js';
import { MECHANISM } from './mechanism.js';
import type { Scenario } from './scenario.js';

const US = 1e6;
const DAY_S = 86_400;
/** A masked ping and a pong without content (RFC 6455), without the headers of TCP and IP. */
const BEAT_BYTES = 8;

const makeCost = (core: number, bytes: number, memory = 0): Cost => ({ core, bytes, memory });
const computeMultiple = (one: Cost, times: number): Cost =>
  makeCost(one.core * times, one.bytes * times, one.memory * times);
const add = (a: Cost, b: Cost): Cost => makeCost(a.core + b.core, a.bytes + b.bytes, a.memory + b.memory);

/** Computes the duties that go on whether or not requests come. */
export function computeControl(s: Scenario, get: Lookup): Duty[] {
  const m = MECHANISM;
  const others = s.nodes - 1;
  const nearby = s.nodes / s.domains;
  const watchers = Math.min(s.nodes, m.watchersPerDomain * s.domains);
  const cells = Math.ceil(s.engines / 24);
  const computeMost = (homes: number): number =>
    Math.max(homes / s.nodes, s.nodes < 470 ? 2 : get('homes', 'most homes on one of 470 members', homes));
  const makeDuty = (role: string, duty: string, mean: Cost, worst = mean, platform = {}): Duty => ({
    role,
    duty,
    kind: 'control',
    mean,
    most: worst,
    platform,
  });
  const poll = (series: string, perSecond: number): Cost =>
    makeCost(
      (perSecond * get('polls', `${series}: time`)) / US,
      perSecond * get('polls', `${series}: bytes`),
    );
  const spreadOver = (holder: Cost, holders: number, rest = makeCost(0, 0)): Cost =>
    computeMultiple(
      add(computeMultiple(holder, holders), computeMultiple(rest, s.nodes - holders)),
      1 / s.nodes,
    );

  const member = makeCost(
    get('membership', 'steady: time of a node', s.nodes) / US,
    get('membership', 'steady: bytes sent by a node', s.nodes),
  );
  const linkTime =
    get('links', 'idle links, both ends', 1 + others) - get('links', 'idle links, both ends', 1);
  // Calls come at random; only gaps above the quiet time have pings. The measured links have no calls at all.
  const callRate = (m.callsPerRequest * s.requests) / s.nodes / others;
  const beats = (callRate * Math.exp(-m.quietS * callRate)) / (1 - Math.exp(-m.quietBeatS * callRate));
  const links = makeCost(
    (linkTime * beats * m.quietBeatS) / US,
    others * beats * BEAT_BYTES,
    others * (get('links', 'memory of links, both ends', 2) - get('links', 'memory of links, both ends', 1)),
  );

  const headBytes = get('config', 'size of a head on the platform', s.accounts);
  const checkHead = get('config', 'check a head', s.accounts);
  const readTime = get('polls', 'store statistic: time');
  const headPollS = m.configPollS * Math.max(1, Math.ceil(s.accounts / m.configFilesPerPoll));
  const makeHeadPoll = (pauseS: number): Cost =>
    makeCost((readTime + checkHead) / pauseS / US, headBytes / pauseS);
  const changes = s.changesPerDay / DAY_S;
  const relays = nearby - 1 + watchers - m.watchersPerDomain;
  const frame = get('messages', 'config-head', s.accounts);
  const fetched = get('messages', 'config-get reply', s.accounts);
  const apply = get('config', 'compile a configuration', s.accounts) + 2 * checkHead;
  const atNode = makeCost((changes * apply) / US, changes * fetched);
  const atWatcher = add(
    atNode,
    makeCost(
      (changes * relays * get('links', 'one call, both ends', 0)) / US,
      changes * (relays * frame + headBytes),
    ),
  );
  const state = makeCost(
    0,
    0,
    get('config', 'memory of accounts', s.accounts) + get('config', 'memory of engines', s.engines),
  );

  const listed = s.nodes + s.engines + s.stores + s.plainServers;
  const listCost = makeCost(
    (get('polls', 'host list: time', listed) + get('config', 'compare a host list', listed)) / US,
    get('polls', 'host list: bytes', listed),
  );
  const watcherS = Math.max(m.hostWatcherPollS, listed * m.hostEntryS);
  const otherS = Math.max(m.hostPollS, listed * m.hostEntryS * m.hostOthers);
  const hostWatcher = computeMultiple(listCost, 1 / watcherS);
  const hostOther = computeMultiple(listCost, 1 / otherS);
  const relayRate = (2 * s.restartsPerDay) / DAY_S;
  const hostRelay = makeCost(0, relayRate * (nearby - 1) * get('messages', 'hosts', s.nodes));

  const engines = s.engines / cells;
  const engineLoad = poll('engine load', 24 / Math.max(m.loadPollS, engines * m.loadEngineS));
  const storesOfCell = Math.min(s.stores / s.pools, Math.max(m.minStoresPerCell, s.stores / cells));
  const storeStat = poll('store statistic', storesOfCell / m.statPollS);
  const stored = s.prompts * s.piecesPerPrompt;
  const storedOfCell = Math.min(200_000, (stored / s.stores) * storesOfCell);
  const listS = Math.max(m.storeListS, (stored / s.stores) * m.storeListPieceS);
  const storeList = makeCost(
    0,
    ((stored / s.stores) * storesOfCell * get('retention', 'size of a listed piece')) / listS,
    (storedOfCell * get('retention', 'memory of stored pieces with their uses', 1e6)) / 1e6,
  );
  const planUs = get('retention', 'plan changes', storedOfCell);
  const plan = makeCost(planUs / US / Math.max(m.planS, (m.planPauseFactor * planUs) / US), 0);
  const spreadCells = (one: Cost): [Cost, Cost] => [
    computeMultiple(one, cells / s.nodes),
    computeMultiple(one, computeMost(cells)),
  ];

  const rate = s.requests / s.nodes / s.accounts;
  const shareS = Math.max(
    m.shareRefreshS * m.refreshesPerShare,
    Math.min(m.shareMaxS, s.nodes * m.shareNodeS),
  );
  const inUse = s.accounts * (1 - Math.exp(-rate * shareS));
  const asks = s.accounts / (shareS / m.refreshesPerShare + 1 / rate);
  const askers = (inUse / s.accounts) * s.nodes;
  const call = get('links', 'one call, both ends', 0);
  const askCost = makeCost(
    (asks * (call + get('limits', 'answer a share request', askers))) / US,
    asks * (get('messages', 'share') + get('messages', 'share reply')),
    (inUse * get('limits', 'memory of accounts in use', 1e4)) / 1e4 +
      ((s.accounts * askers) / s.nodes) * (get('limits', 'memory of askers at the home', 1e4) / 1e4),
  );
  const lookups = cells * get('homes', m.homeLookup, s.nodes);
  const perPool = s.engines / s.pools;
  const orderReads = Math.min(perPool, m.orderIdleReads) / m.orderPeriodS;
  const orders = add(
    poll('engine load', orderReads),
    makeCost(get('orders', 'time without the reads', perPool) / US, 0),
  );
  const polled = Math.min(s.plainServers, m.serversPolled);

  const heldOfPool = get('base', 'heap and buffers', 1e3) / 1e3;
  const base = makeCost(get('base', 'time', 0) / US, 0, get('base', 'heap and buffers', 0));
  const emptyCell = makeCost((get('base', 'time', 1) - get('base', 'time', 0)) / US, 0, heldOfPool);

  return [
    makeDuty('plain node', 'timers, empty polls and heap of a node alone', base),
    makeDuty('home of a cell', 'timers of the cell, and lease', ...spreadCells(emptyCell)),
    makeDuty('membership', 'probes and gossip', member),
    makeDuty('mesh links', `heartbeats of ${String(others)} links each way`, links),
    makeDuty('configuration', 'state on every node', state),
    makeDuty(
      'configuration',
      'polls of the head',
      spreadOver(makeHeadPoll(m.configPollS), watchers, makeHeadPoll(headPollS)),
      makeHeadPoll(m.configPollS),
      { reads: watchers / m.configPollS + (s.nodes - watchers) / headPollS },
    ),
    makeDuty(
      'configuration',
      'changes, relayed by watchers',
      spreadOver(atWatcher, watchers, atNode),
      atWatcher,
      {
        reads: changes * watchers * 2 + watchers / m.watchWaitS,
        writes: changes * 4,
        waiting: watchers,
      },
    ),
    makeDuty('host list', 'polls', spreadOver(hostWatcher, watchers, hostOther), hostWatcher, {
      reads: watchers / watcherS + (s.nodes - watchers) / otherS,
    }),
    makeDuty('host list', 'changes, relayed by watchers', spreadOver(hostRelay, watchers), hostRelay),
    makeDuty(
      'home of a cell',
      'load reports of engines',
      ...spreadCells(computeMultiple(engineLoad, s.engines / cells / 24)),
    ),
    makeDuty('home of a cell', 'statistics of stores', ...spreadCells(storeStat)),
    makeDuty('home of a cell', 'lists of stored pieces', ...spreadCells(storeList)),
    makeDuty('home of a cell', 'retention step', ...spreadCells(plan)),
    makeDuty('home of a cell', 'which cells are this node’s', makeCost(lookups / m.cellSweepS / US, 0)),
    makeDuty(
      'home of accounts',
      'share requests and answers',
      askCost,
      computeMultiple(askCost, 1 + computeMost(s.accounts) / (s.accounts / s.nodes) / 2),
    ),
    makeDuty('lease holder', 'load reports for orders', spreadOver(orders, s.pools), orders, {
      writes: s.pools / m.leaseRenewS,
    }),
    makeDuty('plain node', 'loads of plain servers', poll('service load', polled / m.servicePollS)),
    makeDuty('quarantine', 'watches of suspects and convictions', makeCost(0, 0), makeCost(0, 0), {
      reads: (2 * s.nodes) / m.watchWaitS,
      waiting: 2 * s.nodes,
    }),
  ];
}
