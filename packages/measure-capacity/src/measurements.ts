import { measureBase } from './measure-base.js';
import { measureCell } from './measure-cell.js';
import { measureConfig } from './measure-config.js';
import { measureEntry } from './measure-entry.js';
import { measureHomes } from './measure-homes.js';
import { measureJournal } from './measure-journal.js';
import { measureLimits } from './measure-limits.js';
import { measureLinks } from './measure-links.js';
import { measureMembership } from './measure-membership.js';
import { measureMessages } from './measure-messages.js';
import { measureOrders } from './measure-orders.js';
import { measurePolls } from './measure-polls.js';
import { measureProcess } from './measure-process.js';
import { measureQuarantine } from './measure-quarantine.js';
import { measureRegistry } from './measure-registry.js';
import { measureServerLimits } from './measure-server-limits.js';
import { measureStoreRestores } from './measure-store-restores.js';
import { measureIdle } from './measure-idle.js';
import { measureRetention } from './measure-retention.js';
import type { Measurement } from './measurement.js';

/** All measurements by name. */
export const MEASUREMENTS: Readonly<Record<string, Measurement>> = {
  homes: { description: 'choice of a home by members', run: measureHomes },
  messages: { description: 'encoded size of the messages between nodes', run: measureMessages },
  config: { description: 'configuration and host list on a node', run: measureConfig },
  cell: { description: 'home of a cell', run: measureCell },
  retention: { description: 'retention step of a cell', run: measureRetention },
  orders: { description: 'lease holder of a pool', run: measureOrders },
  limits: { description: 'home of accounts and shares at the entry node', run: measureLimits },
  journal: { description: 'home of journal shards', run: measureJournal },
  registry: { description: 'run registry and quarantine', run: measureRegistry },
  'quarantine-pieces': {
    description: 'pieces that crash servers, at a forwarding host',
    run: measureQuarantine,
  },
  'server-limits': {
    description: 'limits that servers state, at a forwarding host',
    run: measureServerLimits,
  },
  'store-restores': {
    description: 'restores of the store from a copy, at a forwarding host',
    run: measureStoreRestores,
  },
  membership: { description: 'failure detector of a node', run: measureMembership },
  links: { description: 'links between nodes: heartbeats, memory and calls', run: measureLinks },
  polls: { description: 'polls of engines, stores, services and the host list', run: measurePolls },
  entry: { description: 'completions through a node by output tokens', run: measureEntry },
  base: { description: 'a node without requests, accounts and engines by pools', run: measureBase },
  process: { description: 'a node in a process of its own by accounts', run: measureProcess },
  idle: { description: 'whole nodes without requests: platform calls, processor time', run: measureIdle },
};
