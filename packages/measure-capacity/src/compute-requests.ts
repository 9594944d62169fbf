import type { Cost } from './cost.js';
import type { Duty } from './duty.js';
import type { Lookup } from './lookup.js';
import { MECHANISM } from './mechanism.js';
import type { Scenario } from './scenario.js';

const US = 1e6;

const cost = (core: number, bytes: number, memory = 0): Cost => ({ core, bytes, memory });

/** Computes the duties that grow with requests: agreement about each request between nodes, and the answers themselves. */
export function computeRequests(s: Scenario, get: Lookup): Duty[] {
  const m = MECHANISM;
  const rate = s.requests / s.nodes;
  const lookup = get('homes', m.homeLookup, s.nodes);
  const callUs = (pieces: number): number => get('links', 'one call, both ends', pieces);
  const bytesOf = (name: string, x = 1): number => get('messages', name, x);
  const request = (role: string, duty: string, mean: Cost, platform = {}): Duty => ({
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
    bytesOf('place', s.piecesPerPrompt) +
    bytesOf('place reply', engines) +
    bytesOf('run-finished', s.piecesPerPrompt);
  const registered = Math.min(m.maxRunHomeEntries, rate * m.runHomeEntryS);
  const registry =
    get('registry', 'register a run and read it', s.nodes) +
    get('registry', 'check a request', s.nodes) +
    2 * callUs(0);
  const registryBytes =
    bytesOf('run-claim') +
    bytesOf('run-claim reply') +
    bytesOf('suspect-claim') +
    bytesOf('suspect-claim reply');
  const calls = s.calls / s.nodes;
  const callBytes = bytesOf('journal-begin') + bytesOf('journal-finish') + 2 * bytesOf('journal reply');
  const shardCalls = s.calls / s.journalShards;
  const shard = cost(
    (shardCalls * (get('journal', 'begin and finish a call') + 2 * callUs(0))) / US,
    shardCalls * callBytes,
    Math.min(m.maxJournalEntries, shardCalls * 7200) *
      (get('journal', 'memory of finished calls with the fake', 1e4) / 1e4),
  );
  const writes = Math.min(s.journalShards / m.journalWriteS, s.calls * 2);
  return [
    request(
      'entry',
      'requests and tokens',
      cost(
        (rate * get('entry', 'completion, fake engine included', 0) +
          ((s.tokens / s.nodes) *
            (get('entry', 'completion, fake engine included', 1000) -
              get('entry', 'completion, fake engine included', 0))) /
            1000) /
          US,
        0,
      ),
    ),
    request(
      'entry',
      'limits of the account',
      cost((rate * get('limits', 'admit and release a call')) / US, 0),
    ),
    request(
      'entry and home of a cell',
      'placement and report, two calls',
      cost((rate * (place + 2 * callUs(s.piecesPerPrompt) + 3 * lookup)) / US, rate * placeBytes),
    ),
    request(
      'home of a cell',
      'uses and exports',
      cost((rate * get('retention', 'record a use and plan exports', s.piecesPerPrompt)) / US, 0),
    ),
    request(
      'home of a cell',
      'cache events, one stored and one evicted for half of the pieces',
      cost((rate * s.piecesPerPrompt * get('cell', 'apply a cache event')) / US, 0),
    ),
    request(
      'run registry and quarantine',
      'claims of all requests, named ones as well',
      cost(
        (rate * registry) / US,
        rate * registryBytes,
        registered * (get('registry', 'memory of registered runs', 1e4) / 1e4),
      ),
    ),
    {
      ...request(
        'home of a journal shard',
        'begin and finish',
        cost((calls * (get('journal', 'begin and finish a call') + 2 * callUs(0))) / US, calls * callBytes),
      ),
      most: shard,
      platform: { writes },
    },
  ];
}
