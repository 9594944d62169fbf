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

// Guards against calls refused for a minute because a restarted node granted shares of zero.
test('a node without the account gives no share', async (t) => {
  await t.throwsAsync(async () => buildHandlers(undefined).get('share')?.(SHARE));
  const other = { accounts: {} } as unknown as Config;
  await t.throwsAsync(async () => buildHandlers(other).get('share')?.(SHARE));
});

// Guards against a check that refuses every share.
test('a node with the account gives a share', async (t) => {
  t.is(await buildHandlers(CONFIG).get('share')?.(SHARE), GRANT);
});

// Guards against requests refused because a restarted node became the home before it had a configuration.
test('a node without the cell does not refuse a placement', async (t) => {
  const request = { pool: 'storytellers', cell: 0 } as EnginePlacementRequest;
  await t.throwsAsync(async () => buildHandlers(undefined).get('place')?.(request));
});
