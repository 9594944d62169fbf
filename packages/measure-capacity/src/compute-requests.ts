import type { Cost } from './cost.js';
import type { Duty } from './duty.js';
import type { Lookup } from './lookup.js';
import { MECHANISM } from './mechanism.js';
import type { Scenario } from './scenario.js';

const US = 1e6;

const makeCost = (core: number, bytes: number, memory = 0): Cost => ({ core, bytes, memory });

/** Computes the duties that grow with requests: agreement about each request between nodes, and the answers themselves. */
export function computeRequests(s: Scenario, get: Lookup): Duty[] {
  const m = MECHANISM;
  const rate = s.requests / s.nodes;
  const lookup = get('homes', m.homeLookup, s.nodes);
  const callUs = (pieces: number): number => get('links', 'one call, both ends', pieces);
  const getBytes = (name: string, x = 1): number => get('messages', name, x);
  const makeDuty = (role: string, duty: string, mean: Cost, platform = {}): Duty => ({
    role,
    duty,
    kind: 'request',
    mean,
    most: mean,
    platform,
  });
  const place = get('cell', 'place and report a run', s.piecesPerPrompt);
  const engines = Math.min(24, Math.ceil(s.engines / s.pools));
  const placeBytes =
    getBytes('place', s.piecesPerPrompt) +
    getBytes('place reply', engines) +
    getBytes('run-finished', s.piecesPerPrompt);
  const registered = Math.min(m.maxRunHomeEntries, rate * m.runHomeEntryS);
  const registry =
    get('registry', 'register a run and read it', s.nodes) +
    get('registry', 'check a request', s.nodes) +
    2 * callUs(0);
  const registryBytes =
    getBytes('run-claim') +
    getBytes('run-claim reply') +
    getBytes('suspect-claim') +
    getBytes('suspect-claim reply');
  const calls = s.calls / s.nodes;
  const callBytes = getBytes('journal-begin') + getBytes('journal-finish') + 2 * getBytes('journal reply');
  const shardCalls = s.calls / s.journalShards;
  const shard = makeCost(
    (shardCalls * (get('journal', 'begin and finish a call') + 2 * callUs(0))) / US,
    shardCalls * callBytes,
    Math.min(m.maxJournalEntries, shardCalls * 7200) *
      (get('journal', 'memory of finished calls with the fake', 1e4) / 1e4),
  );
  const writes = Math.min(s.journalShards / m.journalWriteS, s.calls * 2);
  return [
    makeDuty(
      'entry',
      'requests and tokens',
      makeCost(
        (rate * get('entry', 'completion, fake engine included', 0) +
          ((s.tokens / s.nodes) *
            (get('entry', 'completion, fake engine included', 1000) -
              get('entry', 'completion, fake engine included', 0))) /
            1000) /
          US,
        0,
      ),
    ),
    makeDuty(
      'entry',
      'limits of the account',
      makeCost((rate * get('limits', 'admit and release a call')) / US, 0),
    ),
    makeDuty(
      'entry and home of a cell',
      'placement and report, two calls',
      makeCost((rate * (place + 2 * callUs(s.piecesPerPrompt) + 3 * lookup)) / US, rate * placeBytes),
    ),
    makeDuty(
      'home of a cell',
      'uses and exports',
      makeCost((rate * get('retention', 'record a use and plan exports', s.piecesPerPrompt)) / US, 0),
    ),
    makeDuty(
      'home of a cell',
      'cache events, one stored and one evicted for half of the pieces',
      makeCost((rate * s.piecesPerPrompt * get('cell', 'apply a cache event')) / US, 0),
    ),
    makeDuty(
      'run registry and quarantine',
      'claims of all requests, named ones as well',
      makeCost(
        (rate * registry) / US,
        rate * registryBytes,
        registered * (get('registry', 'memory of registered runs', 1e4) / 1e4),
      ),
    ),
    {
      ...makeDuty(
        'home of a journal shard',
        'begin and finish',
        makeCost(
          (calls * (get('journal', 'begin and finish a call') + 2 * callUs(0))) / US,
          calls * callBytes,
        ),
      ),
      most: shard,
      platform: { writes },
    },
  ];
}
