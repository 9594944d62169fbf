import type { Scenario } from './scenario.js';

/**
 * The two-year target of the design page and the size of today. The page says nothing of stores, plain servers, pieces of a
 * prompt, calls and shards at the target: one store host for each cell, one plain server for each node, 8 pieces, a call
 * for each hundred requests and 12 shards are assumed, and an even spread of requests over accounts.
 */
export const SCENARIOS: Readonly<Record<'target' | 'today', Scenario>> = {
  target: {
    nodes: 470,
    domains: 9,
    pools: 7,
    engines: 12_000,
    stores: 500,
    plainServers: 470,
    accounts: 4100,
    requests: 67_000,
    tokens: 19e6,
    prompts: 940_000,
    piecesPerPrompt: 8,
    calls: 670,
    journalShards: 12,
    changesPerDay: 35_000,
    restartsPerDay: 3990,
  },
  today: {
    nodes: 8,
    domains: 3,
    pools: 2,
    engines: 11,
    stores: 2,
    plainServers: 3,
    accounts: 10,
    requests: 50,
    tokens: 2000,
    prompts: 500,
    piecesPerPrompt: 8,
    calls: 5,
    journalShards: 3,
    changesPerDay: 50,
    restartsPerDay: 10,
  },
};
