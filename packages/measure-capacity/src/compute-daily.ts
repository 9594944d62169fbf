import type { Figure } from './figure.js';
import type { Lookup } from './lookup.js';
import type { Scenario } from './scenario.js';

const DAY_S = 86_400;
const BYTES_PER_MB = 1e6;
const BYTES_PER_KB = 1e3;

/** Computes what restarts and failures at the daily rate take, and what a start of all nodes takes. */
export function computeDaily(s: Scenario, get: Lookup): Figure[] {
  const cells = Math.ceil(s.engines / 24);
  // A node that goes and comes back moves its homes twice.
  const moves = 2 * s.restartsPerDay;
  const catchUp = get('messages', 'config-get reply from nothing', s.accounts);
  const reads = get('process', 'platform reads of a start beside another node', s.accounts);
  const storePieces = (s.prompts * s.piecesPerPrompt) / s.stores;
  const rebuild = 2 * storePieces * get('retention', 'size of a listed piece');
  const cellMoves = (moves * cells) / s.nodes;
  const make = (name: string, value: number, unit: string): Figure => ({ name, value, unit });
  return [
    make('restarts and failures', s.restartsPerDay / DAY_S, '1/s'),
    make('configuration of one start, from a peer', catchUp / BYTES_PER_MB, 'MB'),
    make(
      'configuration of all starts, per node',
      (s.restartsPerDay * catchUp) / DAY_S / s.nodes / BYTES_PER_KB,
      'KB/s',
    ),
    make('time of one start', get('process', 'start beside another node', s.accounts), 'ms'),
    make('platform reads of one start', reads, 'reads'),
    make('platform reads of all starts', (s.restartsPerDay * reads) / DAY_S, 'reads/s'),
    make('cells that move', cellMoves, '1/day'),
    make('accounts whose home moves', (moves * s.accounts) / s.nodes, '1/day'),
    make('lists of stored pieces for one moved cell', rebuild / BYTES_PER_MB, 'MB'),
    make(
      'lists of stored pieces for moved cells, per node',
      (cellMoves * rebuild) / DAY_S / s.nodes / BYTES_PER_KB,
      'KB/s',
    ),
    make(
      'membership after a start of all nodes, per node',
      get('membership', 'after a start of all: bytes sent by a node', s.nodes) / BYTES_PER_KB,
      'KB/s',
    ),
    make('configuration from the platform when a start finds no peer', s.accounts + s.pools + 1, 'reads'),
    make(
      'head of the configuration',
      get('config', 'size of a head on the platform', s.accounts) / BYTES_PER_KB,
      'KB',
    ),
    make(
      'accounts at which the head reaches the limit of 1 MB',
      ((BYTES_PER_MB - get('config', 'size of a head on the platform', 0)) /
        (get('config', 'size of a head on the platform', 1000) -
          get('config', 'size of a head on the platform', 0))) *
        1000,
      'accounts',
    ),
    make(
      'resident memory of an idle node',
      get('process', 'resident memory', s.accounts) / BYTES_PER_MB,
      'MB',
    ),
  ];
}
