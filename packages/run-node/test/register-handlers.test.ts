import test from 'ava';
import type { Config, EnginePlacementRequest, ShareRequest } from '@laburnumshift/types';
import type { NodeParts } from '../src/node-parts.js';
import { registerHandlers } from '../src/register-handlers.js';

type Handler = (body: unknown) => Promise<unknown>;

const GRANT = { account: 'desk', limits: {}, validMs: 6_000 };
const CONFIG = { accounts: { desk: {} } } as unknown as Config;

function buildHandlers(config: Config | undefined): Map<string, Handler> {
  const handlers = new Map<string, Handler>();
  const parts = {
    mesh: { handleMessage: (type: string, handler: Handler) => handlers.set(type, handler) },
    homes: { openCell: () => undefined },
    limiter: { handleShareRequest: () => GRANT },
    configWatch: { getConfig: () => config },
  };
  registerHandlers(parts as unknown as NodeParts);
  return handlers;
}

const SHARE: ShareRequest = {
  account: 'desk',
  host: 'entry-2',
  requestsPerSecond: 1,
  tokensPerSecond: 1,
  concurrent: 1,
};

// Shares of zero from a restarted node made other nodes refuse the calls of the account for a minute.
test('guards against a share of zero from a node that does not know the account', async (t) => {
  await t.throwsAsync(async () => buildHandlers(undefined).get('share')?.(SHARE));
  const other = { accounts: {} } as unknown as Config;
  await t.throwsAsync(async () => buildHandlers(other).get('share')?.(SHARE));
});

test('guards against a refused share of an account that the node knows', async (t) => {
  t.is(await buildHandlers(CONFIG).get('share')?.(SHARE), GRANT);
});

// A restarted node can become the home of a cell before it has a configuration.
test('guards against a refused placement from a node that does not know the cell', async (t) => {
  const request = { pool: 'storytellers', cell: 0 } as EnginePlacementRequest;
  await t.throwsAsync(async () => buildHandlers(undefined).get('place')?.(request));
});
