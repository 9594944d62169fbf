import { readMonotonicMs } from '@laburnumshift/clock';
import { createLogger } from '@laburnumshift/logger';
import { createLimitTable } from './create-limit-table.js';
import { createRateMeter } from './create-rate-meter.js';
import { createShareTable } from './create-share-table.js';
import { createTokenBucket } from './create-token-bucket.js';
import type { LimitStatement } from './limit-statement.js';
import type { LimitedServer } from './limited-server.js';
import type { RoomForecast } from './room-forecast.js';
import type { ServerLimits } from './server-limits.js';
import type { ServerLimitsOptions } from './server-limits-options.js';
import { startLimitSharing } from './start-limit-sharing.js';
import type { TokenBucket } from './token-bucket.js';

/**
 * Least rate of calls of all hosts to a server with a limit, calls a second. Without any calls nobody would learn that a limit of zero
 * is over.
 */
const MIN_LIMIT = 0.05;
/** Mean number of calls that idle hosts together send at once; the limit of a second is added to it. */
const IDLE_BURST = 1;
const MS_PER_S = 1000;

/** Creates the limits of a host, without any server. */
export function createServerLimits(options: ServerLimitsOptions): ServerLimits {
  const logger = createLogger('limits');
  const limits = createLimitTable();
  const meter = createRateMeter();
  const shares = createShareTable(options, meter);
  const buckets = new Map<string, { readonly bornMs: number; readonly bucket: TokenBucket }>();

  const addStatement = (statement: LimitStatement, isOwn: boolean): boolean => {
    const wasLimited = limits.countLimited() > 0;
    const isChanged = limits.addStatement(statement);
    const { server, limitPerS } = statement;
    if (isChanged) logger.info('server states a limit', { server: server.id, limitPerS, isOwn });
    if (!wasLimited && limits.countLimited() > 0) shares.startLearning();
    return isChanged;
  };
  const sharing = startLimitSharing(options, { limits, shares, meter }, ([, , , statements]) => {
    const changes = statements.map(([id, bornMs, service, limitPerS, ageMs]) =>
      addStatement(
        {
          server: { id, bornMs, service },
          limitPerS: limitPerS ?? undefined,
          atMs: sharing.computeStatedMs(ageMs),
        },
        false,
      ),
    );
    if (changes.includes(true)) sharing.sendSoon();
  });
  const computeRate = (service: string, limitPerS: number): number =>
    Math.max(MIN_LIMIT, limitPerS) * shares.computeShare(service);
  /** Returns the tokens of a server and their rate without a change to its bucket; `undefined` for a server without a limit. */
  const computeTokens = (server: LimitedServer): { tokens: number; ratePerS: number } | undefined => {
    const limitPerS = limits.getLimit(server);
    if (limitPerS === undefined) return undefined;
    const known = buckets.get(server.id);
    const bucket = known?.bornMs === server.bornMs ? known.bucket : createTokenBucket(options.pickRandom);
    const ratePerS = computeRate(server.service, limitPerS);
    const idleCapacity = (IDLE_BURST + limitPerS) / shares.countPlacingHosts();
    return { tokens: bucket.computeTokens(ratePerS, idleCapacity), ratePerS };
  };
  const computeForecast = (
    fills: readonly ({ tokens: number; ratePerS: number } | undefined)[],
  ): RoomForecast => {
    const waits = fills.map((fill) => {
      if (fill === undefined) return { firstMs: 0, ratePerS: Infinity };
      return { firstMs: (Math.max(0, 1 - fill.tokens) * MS_PER_S) / fill.ratePerS, ratePerS: fill.ratePerS };
    });
    return {
      firstMs: Math.min(...waits.map(({ firstMs }) => firstMs)),
      perCallMs: MS_PER_S / waits.reduce((sum, { ratePerS }) => sum + ratePerS, 0),
    };
  };
  /** Returns the bucket of a server, filled up to now; `undefined` for a server without a limit. */
  const updateBucket = (server: LimitedServer): { bucket: TokenBucket; ratePerS: number } | undefined => {
    const limitPerS = limits.getLimit(server);
    if (limitPerS === undefined) return undefined;
    const known = buckets.get(server.id);
    const bucket = known?.bornMs === server.bornMs ? known.bucket : createTokenBucket(options.pickRandom);
    if (bucket !== known?.bucket) buckets.set(server.id, { bornMs: server.bornMs, bucket });
    const ratePerS = computeRate(server.service, limitPerS);
    bucket.refill(ratePerS, (IDLE_BURST + limitPerS) / shares.countPlacingHosts());
    return { bucket, ratePerS };
  };

  return {
    observeLimit: (server, limitPerS) => {
      const { id, bornMs, service } = server;
      const statement = { server: { id, bornMs, service }, limitPerS, atMs: readMonotonicMs() };
      if (addStatement(statement, true)) sharing.sendSoon();
    },
    recordCall: meter.recordCall,
    hasRoom: (server) => {
      const refilled = updateBucket(server);
      if (refilled === undefined || refilled.bucket.getTokens() >= 1) return true;
      refilled.bucket.markWanted();
      return false;
    },
    takeRoom: (server) => {
      updateBucket(server)?.bucket.takeToken();
    },
    estimateRoom: (servers) =>
      computeForecast(
        servers.map((server) => {
          const refilled = updateBucket(server);
          return refilled && { tokens: refilled.bucket.getTokens(), ratePerS: refilled.ratePerS };
        }),
      ),
    getReader: () => ({
      hasRoom: (server) => (computeTokens(server)?.tokens ?? 1) >= 1,
      takeRoom: () => undefined,
      estimateRoom: (servers) => computeForecast(servers.map(computeTokens)),
    }),
    removeServer: (id) => {
      limits.removeServer(id);
      buckets.delete(id);
    },
    countLimited: limits.countLimited,
    close: sharing.close,
  };
}
